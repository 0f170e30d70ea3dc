package ffforward

import (
	"context"
	"errors"
	"net"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

const (
	// defaultSilence is how long an attempt may stay unanswered before it is looked up.
	defaultSilence = time.Second
	// lookUpTimeout bounds one look-up.
	lookUpTimeout = time.Second
	// maxLookUps bounds the look-ups in a row that may fail.
	maxLookUps = 3
	// answerGrace is the time after the deadline in which a refusal may still arrive.
	answerGrace = 50 * time.Millisecond
	// pollInterval is the time between look-ups of an attempt that still runs.
	pollInterval = 20 * time.Millisecond
)

// Client sends calls to the daemons of other VMs. The zero value is ready.
type Client struct {
	// Silence is how long an attempt may stay unanswered before it is looked up;
	// a second when zero.
	Silence time.Duration

	// Dialer makes the connections; one without a source address when nil.
	Dialer *net.Dialer
	// Self names the VM of this daemon.
	Self string
	// Versions is told the version that each answer shows; nothing when nil.
	Versions Versions

	pool pool
}

// get returns an idle connection to vm or makes one.
func (c *Client) get(ctx context.Context, vm ffmember.VM) (*conn, error) {
	if idle := c.pool.take(vm.ForwardAddress, time.Now()); idle != nil {
		return idle, nil
	}
	return c.dial(ctx, vm)
}

// Do runs one attempt of c at the daemon of vm. Its error is an *ffcall.Error.
func (c *Client) Do(ctx context.Context, vm ffmember.VM, call *ffcall.Call) (*ffcall.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(answerGrace))
	defer cancel()
	conn, err := c.get(ctx, vm)
	if err != nil {
		return nil, ffcall.Refuse("dial", ffcall.KindUnreachable, err)
	}
	a := &attempt{pool: &c.pool, from: c.Self, vm: vm, call: call, conn: conn, result: make(chan result, 1)}
	incarnation := conn.incarnation
	go a.run(ctx)
	reply, err := c.await(ctx, a, incarnation)
	c.hear(reply, err)
	return reply, err
}

// hear passes on the version that an answer or a refusal shows.
func (c *Client) hear(reply *ffcall.Reply, err error) {
	var load ffcall.Load
	var e *ffcall.Error
	switch {
	case reply != nil:
		load = reply.Load
	case errors.As(err, &e):
		load = e.Load
	}
	if c.Versions != nil && load.VM != "" {
		c.Versions.Heard(load.VM, load.Version)
	}
}

// await waits for the answer and looks the attempt up whenever it is silent or broken.
func (c *Client) await(ctx context.Context, a *attempt, incarnation uint64) (*ffcall.Reply, error) {
	silence := time.NewTimer(c.silence())
	defer silence.Stop()
	failed := 0
	for {
		select {
		case r := <-a.result:
			if r.err == nil || !broken(r.err) {
				return r.reply, r.err
			}
			return c.settle(ctx, a, incarnation, r.err)
		case <-silence.C:
			r, running, err := c.lookUp(ctx, a, incarnation)
			failed = failuresInRow(failed, err)
			if err == nil && !running {
				c.pool.drop(a.vm.ForwardAddress)
				return r.reply, r.err
			}
			if failed >= maxLookUps {
				c.pool.drop(a.vm.ForwardAddress)
				return nil, &ffcall.Error{Op: "forward", Kind: ffcall.KindSilent, Err: err}
			}
			silence.Reset(c.silence())
		}
	}
}

// failuresInRow counts one more look-up that failed, or starts anew.
func failuresInRow(failed int, err error) int {
	if err == nil {
		return 0
	}
	return failed + 1
}

// broken reports whether err tells of the connection and not of the call.
func broken(err error) bool {
	k := ffcall.KindOf(err)
	return ffcall.OutcomeOf(err) == ffcall.OutcomeUnknown && (k == ffcall.KindUnreachable || k == ffcall.KindTruncated || k == ffcall.KindCrossed)
}

// settle finds the outcome of an attempt whose connection broke.
func (c *Client) settle(ctx context.Context, a *attempt, incarnation uint64, cause error) (*ffcall.Reply, error) {
	poll := time.NewTimer(0)
	defer poll.Stop()
	for failed := 0; failed < maxLookUps; {
		select {
		case <-ctx.Done():
			return nil, cancelled(ctx, cause)
		case <-poll.C:
		}
		r, running, err := c.lookUp(ctx, a, incarnation)
		failed = failuresInRow(failed, err)
		if err == nil && !running {
			return r.reply, r.err
		}
		poll.Reset(pollInterval)
	}
	return nil, cause
}

func cancelled(ctx context.Context, cause error) error {
	kind := ffcall.KindCancelled
	if ctx.Err() == context.DeadlineExceeded {
		kind = ffcall.KindDeadline
	}
	return &ffcall.Error{Op: "forward", Kind: kind, Err: cause}
}

// lookUp asks the daemon of the attempt, over a new connection, what became of it.
func (c *Client) lookUp(ctx context.Context, a *attempt, incarnation uint64) (result, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	conn, err := c.dial(ctx, a.vm)
	if err != nil {
		return result{}, false, err
	}
	defer func() { _ = conn.Close() }()
	r, err := ffprotocol.NewDRPCCallServiceClient(conn).Outcome(ctx, &ffprotocol.OutcomeRequest{
		CallId:      a.call.ID,
		Customer:    a.call.Customer,
		Incarnation: incarnation,
	})
	if err != nil {
		return result{}, false, err
	}
	if r.GetRunning() {
		return result{}, true, nil
	}
	now := time.Now()
	reply, err := replyOf(a.call.ID, r.GetResponse(), now)
	if now.After(a.call.Deadline.Add(answerGrace)) {
		// The gate may have forgotten by now that the attempt ran.
		err = ffcall.Unproved(err)
	}
	return result{reply: reply, err: err}, false, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

func (c *Client) silence() time.Duration {
	if c.Silence > 0 {
		return c.Silence
	}
	return defaultSilence
}
