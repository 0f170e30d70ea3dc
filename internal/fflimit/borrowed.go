package fflimit

import (
	"math"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// maxLenders is the maximum number of cells that a cell borrows from.
const maxLenders = 11

// lender is another cell of the same customer, from which a cell borrows.
type lender struct {
	cell string
	vm   ffmember.VM
	live bool

	seq     uint64
	sentAt  time.Time
	pending bool
	// nextRequestAt is the time before which no further request is sent to the cell.
	nextRequestAt time.Time
	// granted is the number of permits lent until grantedUntil; reserved is an upper
	// bound on the permits that the lender counts as lent.
	granted      int
	reserved     int
	grantedUntil time.Time
	// lentTokens holds the tokens that the cell lent.
	lentTokens batch
}

// usable returns the number of borrowed permits that outlast any grant made now.
func (l *lender) usable(now time.Time) int {
	if !now.Add(permitReservation).Before(l.grantedUntil) {
		return 0
	}
	return l.granted
}

// borrowed holds the permits and tokens that a cell has borrowed from other cells.
type borrowed struct {
	lenders []*lender
}

// setLenders selects the cells that follow the own one in the customer's order as
// lenders. A lender that was selected before keeps its state.
func (b *borrowed) setLenders(c *ffconfig.Contract, f *Fleet, cells []cell, own int) {
	existing := make(map[string]*lender, len(b.lenders))
	for _, l := range b.lenders {
		existing[l.cell] = l
	}
	b.lenders = nil
	for i := 1; i < len(cells) && len(b.lenders) < maxLenders; i++ {
		other := &cells[(own+i)%len(cells)]
		l := existing[other.name]
		if l == nil {
			l = &lender{cell: other.name}
		}
		l.vm, l.live = f.allocator(other, c.Customer)
		b.lenders = append(b.lenders, l)
	}
}

// permits returns the number of borrowed permits that outlast any grant made now.
func (b *borrowed) permits(now time.Time) int {
	n := 0
	for _, l := range b.lenders {
		n += l.usable(now)
	}
	return n
}

// tokens returns the number of borrowed tokens that may still be granted.
func (b *borrowed) tokens(now time.Time) int {
	n := 0
	for _, l := range b.lenders {
		n += l.lentTokens.usable(now)
	}
	return n
}

// take uses up to n borrowed tokens and returns how many it used.
func (b *borrowed) take(n int, now time.Time) int {
	taken := 0
	for _, l := range b.lenders {
		used := max(min(n-taken, l.lentTokens.usable(now)), 0)
		l.lentTokens.tokens -= used
		taken += used
	}
	return taken
}

// LoanRequest is a request to the allocator of another cell.
type LoanRequest struct {
	// Cell is the name of the cell that borrows.
	Cell    string
	VM      ffmember.VM
	Request Request
}

// dueLoans returns the requests to other cells that are due.
func (a *allocation) dueLoans(holder string, now time.Time) []LoanRequest {
	b := &a.borrowed
	tokens, permits := a.tokensToBorrow(now), a.permitsToBorrow(now)
	if tokens == 0 && permits == 0 {
		return nil
	}
	var due []LoanRequest
	for _, l := range b.lenders {
		if !l.live || l.pending || now.Before(l.nextRequestAt) {
			continue
		}
		l.seq++
		l.sentAt, l.pending = now, true
		req := Request{
			Customer: a.contract.Customer,
			Cell:     l.cell,
			Holder:   a.cell + "@" + holder,
			Seq:      l.seq,
			Loan:     true,
			Tokens:   requestShare(tokens, len(b.lenders)),
			Permits:  requestShare(permits, len(b.lenders)),
			Holding:  a.heldFrom(l, now),
		}
		l.reserved = max(req.Holding, l.granted)
		due = append(due, LoanRequest{Cell: a.cell, VM: l.vm, Request: req})
	}
	return due
}

// loanHorizonSeconds is the time span of excess demand for which a cell borrows tokens.
const loanHorizonSeconds = 0.5

// requestShare returns the amount to request from one of n cells: twice an equal
// share, since some will have nothing to lend.
func requestShare(want, n int) int {
	if want <= 0 {
		return 0
	}
	return (2*want + n - 1) / n
}

// tokensToBorrow returns the tokens that own daemons will soon need beyond the
// cell's rate and the tokens already borrowed.
func (a *allocation) tokensToBorrow(now time.Time) int {
	rate := min(a.localDemand(now), a.contract.RatePerSecond) - a.quota.rate
	if rate <= 0 {
		return 0
	}
	return max(int(math.Ceil(rate*loanHorizonSeconds))-a.borrowed.tokens(now), 0)
}

// permitsToBorrow returns the permits that own daemons want beyond the cell's quota.
func (a *allocation) permitsToBorrow(now time.Time) int {
	return max(a.wantedExcept(nil, now)-a.quota.permits, 0)
}

// heldFrom returns the permits of one lender that own daemons may still use.
func (a *allocation) heldFrom(l *lender, now time.Time) int {
	used := a.reserved(now) - a.quota.permits
	for _, other := range a.borrowed.lenders {
		if other != l && now.Before(other.grantedUntil) {
			used -= other.granted
		}
	}
	held := max(min(used, l.reserved), 0)
	if now.Before(l.grantedUntil) {
		held = max(held, l.granted)
	}
	return held
}

// acceptLoan stores the permits and tokens of a loan.
func (a *allocation) acceptLoan(req Request, resp Response, now time.Time) {
	l := a.borrowed.lender(req.Cell)
	if l == nil || !l.pending || l.seq != req.Seq || resp.Seq != req.Seq {
		return
	}
	l.pending = false
	l.nextRequestAt = now.Add(max(resp.Wait, loanInterval))
	l.granted = resp.Permits
	l.reserved = max(req.Holding, resp.Permits)
	l.grantedUntil = l.sentAt.Add(loanTerm)
	if resp.Tokens > 0 {
		l.lentTokens = batch{tokens: resp.Tokens, until: l.sentAt.Add(borrowedTokenTerm)}
	}
}

// failLoan ends a request to another cell that got no response.
func (a *allocation) failLoan(req Request, now time.Time) {
	l := a.borrowed.lender(req.Cell)
	if l == nil || !l.pending || l.seq != req.Seq {
		return
	}
	l.pending = false
	l.nextRequestAt = now.Add(maxLoanWait)
}

func (b *borrowed) lender(cell string) *lender {
	for _, l := range b.lenders {
		if l.cell == cell {
			return l
		}
	}
	return nil
}
