package ffpeer

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// initialBackoff and maxBackoff are the first and the highest upper bound of the
	// full-jitter backoff before an address is dialled again.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// maxBackoffAddresses bounds the addresses with a recorded failure. Once it is
	// reached, the next failure clears all earlier records.
	maxBackoffAddresses = 1024
)

var errBackoff = errors.New("backoff after a failed dial")

// backoffs holds the end of the backoff for each address whose last dial failed.
type backoffs struct {
	mu        sync.Mutex
	addresses map[string]backoff
}

type backoff struct {
	failures int
	until    time.Time
}

func (r *backoffs) allowed(address string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.addresses[address].until)
}

func (r *backoffs) failed(address string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addresses == nil || len(r.addresses) >= maxBackoffAddresses {
		r.addresses = make(map[string]backoff)
	}
	failures := r.addresses[address].failures + 1
	ceiling := min(initialBackoff<<min(failures-1, 16), maxBackoff)
	r.addresses[address] = backoff{failures: failures, until: now.Add(rand.N(ceiling))}
}

func (r *backoffs) succeeded(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.addresses, address)
}
