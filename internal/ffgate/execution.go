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

// overrun is the time after its deadline for which a call that must not run
// twice may go on, so that its outcome becomes known.
const overrun = 30 * time.Second

// lookInterval is the time between the looks of waiting long work for a free slot.
const lookInterval = 250 * time.Millisecond

// execution is a call on its way from the queue to the target.
type execution struct {
	gate   *Gate
	call   *ffcall.Call
	record *record
	item   *ffqueue.Item[*execution]
	// probe tells that the call may reach a target that is not ready.
	probe    bool
	queuedAt time.Time
	// decided receives nil when the call holds a slot, otherwise why it got none.
	decided chan *ffcall.Error
	// caller ends when nobody waits for the answer, ctx when the target need not go on.
	caller context.Context
	ctx    context.Context
	cancel context.CancelFunc
	// reply and refusal are set before the record is done.
	reply   *ffcall.Reply
	refusal *ffcall.Error
}

// do waits for a slot, runs the call and returns its outcome.
func (x *execution) do(ctx context.Context) (*ffcall.Reply, *ffcall.Error) {
	if refusal := x.wait(ctx); refusal != nil {
		return nil, refusal
	}
	x.caller = ctx
	if !x.record.durable {
		x.ctx, x.cancel = context.WithCancel(ctx)
		x.run()
		return x.reply, x.refusal
	}
	x.ctx, x.cancel = context.WithDeadline(context.WithoutCancel(ctx), x.call.Deadline.Add(overrun))
	go x.run()
	select {
	case <-x.record.done:
	case <-ctx.Done():
		if !x.record.over() {
			return nil, unknown(ctx, "run")
		}
	}
	return x.reply, x.refusal
}

// wait returns nil when the call holds a slot. Long work looks from time to time
// whether short work has left it more slots: no event tells it so.
func (x *execution) wait(ctx context.Context) *ffcall.Error {
	var look <-chan time.Time
	if x.item.Class == ffconfig.ClassLong {
		ticker := time.NewTicker(lookInterval)
		defer ticker.Stop()
		look = ticker.C
	}
	for {
		select {
		case refusal := <-x.decided:
			return refusal
		case <-look:
			x.gate.look()
		case <-ctx.Done():
			return x.abandon(ctx)
		}
	}
}

// abandon takes the call out of the queue, or gives its unused slot back.
func (x *execution) abandon(ctx context.Context) *ffcall.Error {
	g := x.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case refusal := <-x.decided:
		if refusal != nil {
			return refusal
		}
	default:
	}
	refusal := ffcall.Refuse("wait", kindOf(ctx), context.Cause(ctx))
	now := g.now()
	g.end(now, x, 0, nil, refusal)
	g.dispatch(now)
	return refusal
}

// run gives the call to the target and records what becomes of it.
func (x *execution) run() {
	defer x.cancel()
	g := x.gate
	started, refusal := g.lastCheck(x)
	if refusal != nil {
		return
	}
	reply, err := g.Target.Do(x.ctx, x.call)
	g.complete(x, started, reply, x.fault(err))
}

// fault makes sure that a call which got no answer says whether it ran.
func (x *execution) fault(err error) *ffcall.Error {
	if err == nil {
		return nil
	}
	var e *ffcall.Error
	if errors.As(err, &e) {
		return e
	}
	if x.ctx.Err() != nil {
		return unknown(x.ctx, "run")
	}
	return &ffcall.Error{Op: "run", Err: err}
}

// unknown returns the error for a call that nobody waits for any more, though it may run.
func unknown(ctx context.Context, op string) *ffcall.Error {
	return &ffcall.Error{Op: op, Kind: kindOf(ctx), Err: context.Cause(ctx)}
}

func kindOf(ctx context.Context) ffcall.Kind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ffcall.KindDeadline
	}
	return ffcall.KindCancelled
}

func late(op string) *ffcall.Error {
	return ffcall.Refuse(op, ffcall.KindDeadline, merry.New("the deadline cannot be met"))
}
