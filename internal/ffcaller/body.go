package ffcaller

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// customerBodyDivisor limits one customer to 1/customerBodyDivisor of the body memory.
const customerBodyDivisor = 4

// defaultBodyMemory is the memory limit for bodies in flight, in bytes.
const defaultBodyMemory = 256 << 20

// bodyMemory limits the memory for bodies in flight, in total and per customer.
// The zero value has the default limit.
type bodyMemory struct {
	// limit is in bytes; zero means defaultBodyMemory.
	limit int64

	mu          sync.Mutex
	total       int64
	perCustomer map[string]int64
}

// reserve reserves n bytes for a customer. It returns a refusal when they exceed a limit.
func (m *bodyMemory) reserve(customer string, n int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := cmp.Or(m.limit, defaultBodyMemory)
	if m.total+n > limit || m.perCustomer[customer]+n > limit/customerBodyDivisor {
		return ffcall.Refuse("read body", ffcall.KindOverload, merry.Errorf("body memory limit reached: cannot reserve %d bytes", n))
	}
	if m.perCustomer == nil {
		m.perCustomer = make(map[string]int64)
	}
	m.total += n
	m.perCustomer[customer] += n
	return nil
}

// release releases n bytes that were reserved for a customer.
func (m *bodyMemory) release(customer string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total -= n
	m.perCustomer[customer] -= n
	if m.perCustomer[customer] == 0 {
		delete(m.perCustomer, customer)
	}
}

// readBody reads the whole body of a request, of at most limit bytes, before the
// deadline. Its error is an *ffcall.Error.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
		return nil, ffcall.Refuse("read body", ffcall.KindUnknown, err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, tooLarge(limit)
	}
	if err != nil {
		return nil, ffcall.Refuse("read body", ffcall.KindMalformed, merry.Prepend(err, "incomplete or malformed body"))
	}
	return body, nil
}

func tooLarge(limit int64) error {
	return ffcall.Refuse("read body", ffcall.KindTooLarge, merry.Errorf("the body exceeds the contract's limit of %d bytes", limit))
}
