package ffgate

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// Outcome returns the recorded result of an attempt. It waits for the end of the
// attempt until the given time. For an attempt without a record the outcome is
// unknown.
func (g *Gate) Outcome(ctx context.Context, callID, customer string, until time.Time) (*ffcall.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	r := g.findRecord(callKey{customer, callID})
	if r == nil {
		return nil, g.reportRefusal(noRecord())
	}
	return g.await(ctx, r)
}

// AwaitOutcome is Outcome for the daemon that sent the attempt to this incarnation. An
// attempt that was never received is reported as not run, and refused if it arrives
// later. The result is valid only if it is returned before the attempt's deadline:
// until then the gate can tell whether the record of an attempt was removed.
func (g *Gate) AwaitOutcome(ctx context.Context, callID, customer string, incarnation uint64, until time.Time) (*ffcall.Reply, error) {
	if incarnation != g.Incarnation {
		return nil, g.reportRefusal(noRecord())
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	r, refusal := g.findOrBlock(callKey{customer, callID})
	if refusal != nil {
		return nil, g.reportRefusal(refusal)
	}
	return g.await(ctx, r)
}

func (g *Gate) findRecord(k callKey) *record {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepare()
	g.store.sweep(g.now())
	return g.store.byCall[k]
}

func (g *Gate) findOrBlock(k callKey) (*record, *ffcall.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepare()
	now := g.now()
	g.store.sweep(now)
	if r, ok := g.store.byCall[k]; ok {
		return r, nil
	}
	refusal := notReceived()
	if !g.store.block(now, k, refusal) {
		return nil, noRecord()
	}
	return nil, refusal
}

func noRecord() *ffcall.Error {
	return &ffcall.Error{Op: "outcome", Err: merry.New("the gate has no record of the call")}
}

// notReceived returns the refusal of an attempt that was never received. It applies
// to this attempt only: another one with the same token may have run.
func notReceived() *ffcall.Error {
	return ffcall.Refuse("outcome", ffcall.KindNoResponse, merry.New("the gate never received the call"))
}

// await waits for the end of a recorded call and returns its result.
func (g *Gate) await(ctx context.Context, r *record) (*ffcall.Reply, error) {
	select {
	case <-r.done:
	case <-ctx.Done():
		if !r.ended() {
			return nil, g.reportRefusal(unknownOutcome(ctx, "await"))
		}
	}
	return g.recordedResult(r)
}

// recordedResult returns the result of a call that has ended.
func (g *Gate) recordedResult(r *record) (*ffcall.Reply, error) {
	g.mu.Lock()
	reply, refusal := r.reply, r.refusal
	g.mu.Unlock()
	switch {
	case refusal != nil:
		return nil, g.reportRefusal(refusal)
	case reply == nil:
		return nil, g.reportRefusal(&ffcall.Error{Op: "await", Err: merry.New("the answer is not stored")})
	}
	return g.completeReply(r, reply), nil
}

// completeReply returns a copy of a reply with the current load. For a call that must
// not run twice it adds a token for the customer's next call.
func (g *Gate) completeReply(r *record, reply *ffcall.Reply) *ffcall.Reply {
	answer := *reply
	answer.Load = g.Load()
	if !r.atMostOnce {
		return &answer
	}
	if token, err := g.Mint(r.call.customer, r.route); err == nil {
		answer.NextToken = token
	}
	return &answer
}

// reportRefusal counts a refusal and returns a copy of it with the current load.
func (g *Gate) reportRefusal(refusal *ffcall.Error) error {
	withLoad := *refusal
	withLoad.Load = g.Load()
	g.metrics.countRefusal(refusal.Kind, refusal.Outcome)
	return &withLoad
}
