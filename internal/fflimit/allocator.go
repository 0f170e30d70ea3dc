package fflimit

import (
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// allocationIdleTimeout is the time after which an allocation without requests is dropped.
const allocationIdleTimeout = 10 * time.Minute

// allocationKey identifies one cell of one customer.
type allocationKey struct {
	customer string
	cell     string
}

// allocator holds the allocations of the cells for which this daemon allocates. The
// zero value holds none.
type allocator struct {
	mu          sync.Mutex
	allocations map[allocationKey]*allocation
}

// grant returns the response to a request. It grants nothing if this daemon does not
// allocate for the cell.
func (a *allocator) grant(c *ffconfig.Contract, f *Fleet, req Request, now time.Time) Response {
	a.mu.Lock()
	defer a.mu.Unlock()
	refused := Response{Customer: req.Customer, Cell: req.Cell, Seq: req.Seq, Wait: refusedWait}
	key := allocationKey{customer: req.Customer, cell: req.Cell}
	entry := a.allocations[key]
	if entry == nil {
		entry = &allocation{}
	}
	if !entry.update(c, f, req.Cell, now) {
		return refused
	}
	if a.allocations == nil {
		a.allocations = make(map[allocationKey]*allocation)
	}
	a.allocations[key] = entry
	return entry.grant(req, now)
}

// dueLoans returns the requests to other cells that are due, and drops idle
// allocations.
func (a *allocator) dueLoans(holder string, now time.Time) []LoanRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	var due []LoanRequest
	for key, entry := range a.allocations {
		if now.Sub(entry.usedAt) > allocationIdleTimeout {
			delete(a.allocations, key)
			continue
		}
		due = append(due, entry.dueLoans(holder, now)...)
	}
	return due
}

// finishLoan processes the response to a loan request; resp is nil if there was none.
// cell is the name of the borrowing cell.
func (a *allocator) finishLoan(cell string, req Request, resp *Response, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry := a.allocations[allocationKey{customer: req.Customer, cell: cell}]
	switch {
	case entry == nil:
	case resp == nil:
		entry.failLoan(req, now)
	default:
		entry.acceptLoan(req, *resp, now)
	}
}
