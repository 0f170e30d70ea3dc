package ffpeer

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// firstRetry and longestRetry bound the full-jitter wait before an address is dialled again.
	firstRetry   = 50 * time.Millisecond
	longestRetry = time.Second
	// maxRetryAddresses bounds the addresses for which failures are remembered.
	maxRetryAddresses = 1024
)

var errBackoff = errors.New("dialled without success a moment ago")

// retryTimes remembers until when an address that failed is left alone.
type retryTimes struct {
	mu        sync.Mutex
	addresses map[string]retryTime
}

type retryTime struct {
	failures int
	at       time.Time
}

func (r *retryTimes) allowed(address string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.addresses[address].at)
}

func (r *retryTimes) failed(address string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addresses == nil || len(r.addresses) >= maxRetryAddresses {
		r.addresses = make(map[string]retryTime)
	}
	failures := r.addresses[address].failures + 1
	ceiling := min(firstRetry<<min(failures-1, 16), longestRetry)
	r.addresses[address] = retryTime{failures: failures, at: now.Add(rand.N(ceiling))}
}

func (r *retryTimes) succeeded(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.addresses, address)
}
