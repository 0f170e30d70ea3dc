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

// customerBodyPart is the part of the memory for bodies that one customer may hold.
const customerBodyPart = 4

// defaultBodyMemory bounds the memory that bodies in flight take, in bytes.
const defaultBodyMemory = 256 << 20

// bodyMemory bounds the memory that bodies in flight take, in all and for each
// customer. The zero value has the default bound.
type bodyMemory struct {
	// limit is the bound in bytes; the default when zero.
	limit int64

	mu    sync.Mutex
	total int64
	held  map[string]int64
}

// take reserves n bytes for a customer, or refuses.
func (m *bodyMemory) take(customer string, n int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := cmp.Or(m.limit, defaultBodyMemory)
	if m.total+n > limit || m.held[customer]+n > limit/customerBodyPart {
		return ffcall.Refuse("read body", ffcall.KindOverload, merry.Errorf("the memory for bodies has no room for %d bytes more", n))
	}
	if m.held == nil {
		m.held = make(map[string]int64)
	}
	m.total += n
	m.held[customer] += n
	return nil
}

// give returns n bytes of a customer.
func (m *bodyMemory) give(customer string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total -= n
	m.held[customer] -= n
	if m.held[customer] == 0 {
		delete(m.held, customer)
	}
}

// readBody reads the whole body of a request, of at most limit bytes, before the deadline.
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
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, tooLarge(limit)
	}
	if err != nil {
		return nil, ffcall.Refuse("read body", ffcall.KindMalformed, merry.Prepend(err, "the body ended early"))
	}
	return body, nil
}

func tooLarge(limit int64) error {
	return ffcall.Refuse("read body", ffcall.KindTooLarge, merry.Errorf("the contract allows bodies of %d bytes", limit))
}
