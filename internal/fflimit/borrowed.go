package fflimit

import (
	"math"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// maxLenders bounds the cells that a cell asks.
const maxLenders = 11

// lender is another cell of the same customer.
type lender struct {
	cell string
	vm   ffmember.VM
	live bool

	seq    uint64
	sentAt time.Time
	asking bool
	// askAt is the time before which the cell is not asked again.
	askAt time.Time
	// granted is the number of permits lent until a time; exposure bounds what
	// the lender counts.
	granted  int
	exposure int
	until    time.Time
	// pot holds the tokens that it lent.
	pot batch
}

// usable returns the permits that outlast any grant made now.
func (l *lender) usable(now time.Time) int {
	if !now.Add(permitHold).Before(l.until) {
		return 0
	}
	return l.granted
}

// borrowed is what a cell has from other cells.
type borrowed struct {
	lenders []*lender
}

// setLenders keeps the cells that follow the own one in the customer's order.
func (b *borrowed) setLenders(c *ffconfig.Contract, f *Fleet, all []cell, own int) {
	known := make(map[string]*lender, len(b.lenders))
	for _, l := range b.lenders {
		known[l.cell] = l
	}
	b.lenders = nil
	for i := 1; i < len(all) && len(b.lenders) < maxLenders; i++ {
		other := &all[(own+i)%len(all)]
		l := known[other.name]
		if l == nil {
			l = &lender{cell: other.name}
		}
		l.vm, l.live = f.allocator(other, c.Customer)
		b.lenders = append(b.lenders, l)
	}
}

// permits returns the borrowed permits that outlast any grant made now.
func (b *borrowed) permits(now time.Time) int {
	n := 0
	for _, l := range b.lenders {
		n += l.usable(now)
	}
	return n
}

// tokens returns the borrowed tokens that may still be passed on.
func (b *borrowed) tokens(now time.Time) int {
	n := 0
	for _, l := range b.lenders {
		n += l.pot.left(now)
	}
	return n
}

// take uses up to n borrowed tokens and returns their number.
func (b *borrowed) take(n int, now time.Time) int {
	taken := 0
	for _, l := range b.lenders {
		some := max(min(n-taken, l.pot.left(now)), 0)
		l.pot.tokens -= some
		taken += some
	}
	return taken
}

// Loan is an ask to the allocator of another cell.
type Loan struct {
	// Cell names the cell that borrows.
	Cell string
	VM   ffmember.VM
	Ask  Ask
}

// loans returns the asks to other cells that are due.
func (a *allocation) loans(holder string, now time.Time) []Loan {
	b := &a.borrowed
	tokens, permits := a.tokensToBorrow(now), a.permitsToBorrow(now)
	if tokens == 0 && permits == 0 {
		return nil
	}
	var due []Loan
	for _, l := range b.lenders {
		if !l.live || l.asking || now.Before(l.askAt) {
			continue
		}
		l.seq++
		l.sentAt, l.asking = now, true
		q := Ask{
			Customer: a.contract.Customer,
			Cell:     l.cell,
			Holder:   a.cell + "@" + holder,
			Seq:      l.seq,
			Loan:     true,
			Tokens:   share(tokens, len(b.lenders)),
			Permits:  share(permits, len(b.lenders)),
			Holding:  a.holding(l, now),
		}
		l.exposure = max(q.Holding, l.granted)
		due = append(due, Loan{Cell: a.cell, VM: l.vm, Ask: q})
	}
	return due
}

// tradeHorizonSeconds is the time for which a cell borrows tokens.
const tradeHorizonSeconds = 0.5

// share returns what to ask of one of n cells, twice an equal part, since some
// will have nothing.
func share(want, n int) int {
	if want <= 0 {
		return 0
	}
	return (2*want + n - 1) / n
}

// tokensToBorrow returns the tokens that own daemons will soon want beyond what
// the cell has.
func (a *allocation) tokensToBorrow(now time.Time) int {
	rate := min(a.demand(now), a.contract.RatePerSecond) - a.part.rate
	if rate <= 0 {
		return 0
	}
	return max(int(math.Ceil(rate*tradeHorizonSeconds))-a.borrowed.tokens(now), 0)
}

// permitsToBorrow returns the permits that own daemons want beyond the cell's part.
func (a *allocation) permitsToBorrow(now time.Time) int {
	return max(a.wantedBeside(nil, now)-a.part.permits, 0)
}

// holding returns the permits of one lender that grants to own daemons may still use.
func (a *allocation) holding(l *lender, now time.Time) int {
	used := a.exposed(now) - a.part.permits
	for _, other := range a.borrowed.lenders {
		if other != l && now.Before(other.until) {
			used -= other.granted
		}
	}
	held := max(min(used, l.exposure), 0)
	if now.Before(l.until) {
		held = max(held, l.granted)
	}
	return held
}

// accept takes in a loan.
func (a *allocation) accept(q Ask, r Answer, now time.Time) {
	l := a.borrowed.lender(q.Cell)
	if l == nil || !l.asking || l.seq != q.Seq || r.Seq != q.Seq {
		return
	}
	l.asking = false
	l.askAt = now.Add(max(r.Wait, tradeInterval))
	l.granted = r.Permits
	l.exposure = max(q.Holding, r.Permits)
	l.until = l.sentAt.Add(loanTerm)
	if r.Tokens > 0 {
		l.pot = batch{tokens: r.Tokens, until: l.sentAt.Add(potTerm)}
	}
}

// fail ends an ask to another cell that brought no answer.
func (a *allocation) fail(q Ask, now time.Time) {
	l := a.borrowed.lender(q.Cell)
	if l == nil || !l.asking || l.seq != q.Seq {
		return
	}
	l.asking = false
	l.askAt = now.Add(maxLoanWait)
}

func (b *borrowed) lender(cell string) *lender {
	for _, l := range b.lenders {
		if l.cell == cell {
			return l
		}
	}
	return nil
}
