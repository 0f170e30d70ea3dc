package fflimit

import (
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// forgetAllocation is the time after which an allocation that nobody asks for is forgotten.
const forgetAllocation = 10 * time.Minute

// place names one cell of one customer.
type place struct {
	customer string
	cell     string
}

// allocator holds the allocations that this daemon answers for. The zero value
// holds none.
type allocator struct {
	mu          sync.Mutex
	allocations map[place]*allocation
}

// answer grants what one ask may have.
func (o *allocator) answer(c *ffconfig.Contract, f *Fleet, q Ask, now time.Time) Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	refused := Answer{Customer: q.Customer, Cell: q.Cell, Seq: q.Seq, Wait: refusedWait}
	at := place{customer: q.Customer, cell: q.Cell}
	a := o.allocations[at]
	if a == nil {
		a = &allocation{}
	}
	if !a.place(c, f, q.Cell, now) {
		return refused
	}
	if o.allocations == nil {
		o.allocations = make(map[place]*allocation)
	}
	o.allocations[at] = a
	return a.answer(q, now)
}

// loans returns the asks to other cells that are due, and forgets the allocations
// that nobody asks for.
func (o *allocator) loans(holder string, now time.Time) []Loan {
	o.mu.Lock()
	defer o.mu.Unlock()
	var due []Loan
	for at, a := range o.allocations {
		if now.Sub(a.usedAt) > forgetAllocation {
			delete(o.allocations, at)
			continue
		}
		due = append(due, a.loans(holder, now)...)
	}
	return due
}

// settle takes in the answer to a loan, or its lack. cell names the one that asked.
func (o *allocator) settle(cell string, q Ask, r *Answer, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.allocations[place{customer: q.Customer, cell: cell}]
	switch {
	case a == nil:
	case r == nil:
		a.fail(q, now)
	default:
		a.accept(q, *r, now)
	}
}
