package ffgate

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// Outcome waits until the given time for what became of an attempt. An attempt
// that the gate does not know has an unknown outcome.
func (g *Gate) Outcome(ctx context.Context, callID, customer string, until time.Time) (*ffcall.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	r := g.lookUp(callKey{customer, callID})
	if r == nil {
		return nil, g.report(&ffcall.Error{Op: "outcome", Err: merry.New("the call is not remembered")})
	}
	return g.await(ctx, r)
}

// Settle is Outcome for the daemon that sent the attempt to this incarnation and
// asks before the attempt's deadline: an attempt that never came is barred from
// running later and reported as not run. The answer counts only when it arrives
// before that deadline.
func (g *Gate) Settle(ctx context.Context, callID, customer string, incarnation uint64, until time.Time) (*ffcall.Reply, error) {
	if incarnation == g.Incarnation && g.bar(callKey{customer, callID}, until) {
		return nil, g.report(neverCame())
	}
	return g.Outcome(ctx, callID, customer, until)
}

func (g *Gate) lookUp(k callKey) *record {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepare()
	g.store.sweep(g.now())
	return g.store.byCall[k]
}

// bar reports whether the call is unknown and will not run.
func (g *Gate) bar(k callKey, until time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepare()
	now := g.now()
	g.store.sweep(now)
	if _, known := g.store.byCall[k]; known || !now.Before(until) {
		return false
	}
	return g.store.bar(now, k, until, neverCame())
}

func neverCame() *ffcall.Error {
	return ffcall.Refuse("outcome", ffcall.KindUnreachable, merry.New("the call never came to the gate"))
}

// await waits for the end of a call that was recorded before.
func (g *Gate) await(ctx context.Context, r *record) (*ffcall.Reply, error) {
	select {
	case <-r.done:
	case <-ctx.Done():
		return nil, g.report(unknown(ctx, "await"))
	}
	g.mu.Lock()
	reply, refusal := r.reply, r.refusal
	g.mu.Unlock()
	switch {
	case refusal != nil:
		return nil, g.report(refusal)
	case reply == nil:
		return nil, g.report(&ffcall.Error{Op: "await", Err: merry.New("the answer is no longer remembered")})
	}
	return g.answer(reply), nil
}

// answer returns a copy of a reply with the load of now.
func (g *Gate) answer(reply *ffcall.Reply) *ffcall.Reply {
	withLoad := *reply
	withLoad.Load = g.Load()
	return &withLoad
}

// report returns a copy of a refusal with the load of now, and counts it.
func (g *Gate) report(refusal *ffcall.Error) error {
	withLoad := *refusal
	withLoad.Load = g.Load()
	g.metrics.refused(refusal.Kind, refusal.Outcome)
	return &withLoad
}
