package ffgate

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffqueue"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// maxOverrun is the time for which a call that must not run twice may continue
// after its deadline, so that its outcome becomes known.
const maxOverrun = 30 * time.Second

// redispatchInterval is the interval at which a waiting long call triggers a
// dispatch.
const redispatchInterval = 250 * time.Millisecond

// execution is a call that is queued for the target or runs there.
type execution struct {
	gate   *Gate
	call   *ffcall.Call
	record *record
	item   *ffqueue.Item[*execution]
	// probe allows the call to be sent to a target that is not ready.
	probe    bool
	queuedAt time.Time
	// decision receives nil when the call gets a slot, otherwise the refusal.
	decision chan *ffcall.Error
	// callerCtx ends when the caller stops waiting for the answer, ctx when the call
	// at the target is cancelled.
	callerCtx context.Context
	ctx       context.Context
	cancel    context.CancelFunc
	// reply and refusal are set before the record is done.
	reply   *ffcall.Reply
	refusal *ffcall.Error
}

// do waits for a slot, runs the call and returns its outcome.
func (x *execution) do(ctx context.Context) (*ffcall.Reply, *ffcall.Error) {
	if refusal := x.wait(ctx); refusal != nil {
		return nil, refusal
	}
	x.callerCtx = ctx
	if !x.record.atMostOnce {
		x.ctx, x.cancel = context.WithCancel(ctx)
		x.run()
		return x.reply, x.refusal
	}
	x.ctx, x.cancel = context.WithDeadline(context.WithoutCancel(ctx), x.call.Deadline.Add(maxOverrun))
	go x.run()
	select {
	case <-x.record.done:
	case <-ctx.Done():
		if !x.record.ended() {
			return nil, unknownOutcome(ctx, "run")
		}
	}
	return x.reply, x.refusal
}

// wait returns nil when the call holds a slot. A long call triggers a dispatch
// periodically: the slots left to long calls grow as the average demand of short
// calls falls over time, and no event reports that.
func (x *execution) wait(ctx context.Context) *ffcall.Error {
	var ticks <-chan time.Time
	if x.item.Class == ffconfig.ClassLong {
		ticker := time.NewTicker(redispatchInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		select {
		case refusal := <-x.decision:
			return refusal
		case <-ticks:
			x.gate.redispatch()
		case <-ctx.Done():
			return x.abandon(ctx)
		}
	}
}

// abandon removes the call from the queue, or frees its unused slot.
func (x *execution) abandon(ctx context.Context) *ffcall.Error {
	g := x.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case refusal := <-x.decision:
		if refusal != nil {
			return refusal
		}
	default:
	}
	refusal := ffcall.Refuse("wait", contextKind(ctx), context.Cause(ctx))
	now := g.now()
	g.finish(now, x, 0, nil, refusal)
	g.dispatch(now)
	return refusal
}

// run sends the call to the target and records the result.
func (x *execution) run() {
	defer x.cancel()
	g := x.gate
	started, refusal := g.checkBeforeRun(x)
	if refusal != nil {
		return
	}
	reply, err := g.Target.Do(x.ctx, x.call)
	g.complete(x, started, reply, x.callError(err))
}

// callError converts an error of the target to an *ffcall.Error; the outcome of
// any other type of error is unknown.
func (x *execution) callError(err error) *ffcall.Error {
	if err == nil {
		return nil
	}
	var e *ffcall.Error
	if errors.As(err, &e) {
		return e
	}
	if x.ctx.Err() != nil {
		return unknownOutcome(x.ctx, "run")
	}
	return &ffcall.Error{Op: "run", Err: err}
}

// unknownOutcome returns the error for a call whose context has ended although the
// call may still run.
func unknownOutcome(ctx context.Context, op string) *ffcall.Error {
	return &ffcall.Error{Op: op, Kind: contextKind(ctx), Err: context.Cause(ctx)}
}

func contextKind(ctx context.Context) ffcall.Kind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ffcall.KindDeadline
	}
	return ffcall.KindCancelled
}

func deadlineRefusal(op string) *ffcall.Error {
	return ffcall.Refuse(op, ffcall.KindDeadline, merry.New("the deadline cannot be met"))
}
