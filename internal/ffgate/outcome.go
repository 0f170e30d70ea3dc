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
		return nil, g.report(notRemembered())
	}
	return g.await(ctx, r)
}

// Settle is Outcome for the daemon that sent the attempt to this incarnation. An
// attempt that never came is refused from then on and reported as not run. The
// answer counts only while the attempt's deadline has not passed: until then no
// outcome is forgotten unnoticed.
func (g *Gate) Settle(ctx context.Context, callID, customer string, incarnation uint64, until time.Time) (*ffcall.Reply, error) {
	if incarnation != g.Incarnation {
		return nil, g.report(notRemembered())
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	r, refusal := g.findOrBar(callKey{customer, callID})
	if refusal != nil {
		return nil, g.report(refusal)
	}
	return g.await(ctx, r)
}

func (g *Gate) lookUp(k callKey) *record {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepare()
	g.store.sweep(g.now())
	return g.store.byCall[k]
}

func (g *Gate) findOrBar(k callKey) (*record, *ffcall.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepare()
	now := g.now()
	g.store.sweep(now)
	if r, ok := g.store.byCall[k]; ok {
		return r, nil
	}
	refusal := neverCame()
	if !g.store.bar(now, k, refusal) {
		return nil, notRemembered()
	}
	return nil, refusal
}

func notRemembered() *ffcall.Error {
	return &ffcall.Error{Op: "outcome", Err: merry.New("the call is not remembered")}
}

// neverCame tells of one attempt alone: another one with its token may have run.
func neverCame() *ffcall.Error {
	return ffcall.Refuse("outcome", ffcall.KindSilent, merry.New("the call never came to the gate"))
}

// await waits for the end of a call that was recorded before.
func (g *Gate) await(ctx context.Context, r *record) (*ffcall.Reply, error) {
	select {
	case <-r.done:
	case <-ctx.Done():
		if !r.over() {
			return nil, g.report(unknown(ctx, "await"))
		}
	}
	return g.ended(r)
}

// ended returns what became of a call that has ended.
func (g *Gate) ended(r *record) (*ffcall.Reply, error) {
	g.mu.Lock()
	reply, refusal := r.reply, r.refusal
	g.mu.Unlock()
	switch {
	case refusal != nil:
		return nil, g.report(refusal)
	case reply == nil:
		return nil, g.report(&ffcall.Error{Op: "await", Err: merry.New("the answer is no longer remembered")})
	}
	return g.answer(r, reply), nil
}

// answer returns a copy of a reply with the load of now, and a token for the
// customer's next call when the call was bound to this gate.
func (g *Gate) answer(r *record, reply *ffcall.Reply) *ffcall.Reply {
	answer := *reply
	answer.Load = g.Load()
	if !r.durable {
		return &answer
	}
	if token, err := g.Mint(r.call.customer, r.route); err == nil {
		answer.NextToken = token
	}
	return &answer
}

// report returns a copy of a refusal with the load of now, and counts it.
func (g *Gate) report(refusal *ffcall.Error) error {
	withLoad := *refusal
	withLoad.Load = g.Load()
	g.metrics.refused(refusal.Kind, refusal.Outcome)
	return &withLoad
}
