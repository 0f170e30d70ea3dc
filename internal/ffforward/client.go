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
	// defaultLookUpDelay is the default of Client.LookUpDelay.
	defaultLookUpDelay = time.Second
	// lookUpTimeout is the timeout of one look-up.
	lookUpTimeout = time.Second
	// maxLookUps is the number of consecutive failed look-ups after which the client
	// gives up.
	maxLookUps = 3
	// responseGrace is how long the client waits beyond the deadline for a refusal.
	responseGrace = 50 * time.Millisecond
	// pollInterval is the time between look-ups after the connection has failed.
	pollInterval = 20 * time.Millisecond
)

// Client sends calls to the daemons of other VMs. The zero value is ready to use.
type Client struct {
	// LookUpDelay is how long an attempt may stay without a response before its outcome
	// is looked up, and the time between such look-ups; one second if zero.
	LookUpDelay time.Duration

	// Dialer opens the connections; nil means a default net.Dialer.
	Dialer *net.Dialer
	// Self is the name of this daemon's VM.
	Self string
	// Versions receives the configuration version in each response; may be nil.
	Versions VersionObserver

	pool pool
}

// get returns an idle connection to vm or opens one.
func (c *Client) get(ctx context.Context, vm ffmember.VM) (*conn, error) {
	if idle := c.pool.take(vm.ForwardAddress, time.Now()); idle != nil {
		return idle, nil
	}
	return c.dial(ctx, vm)
}

// Do runs one attempt of call at the daemon of vm. Its error is an *ffcall.Error.
func (c *Client) Do(ctx context.Context, vm ffmember.VM, call *ffcall.Call) (*ffcall.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(responseGrace))
	defer cancel()
	conn, err := c.get(ctx, vm)
	if err != nil {
		return nil, ffcall.Refuse("dial", ffcall.KindUnreachable, err)
	}
	a := &attempt{pool: &c.pool, from: c.Self, vm: vm, call: call, conn: conn, result: make(chan result, 1)}
	incarnation := conn.incarnation
	go a.run(ctx)
	reply, err := c.await(ctx, a, incarnation)
	c.reportVersion(reply, err)
	return reply, err
}

// reportVersion reports the version in a reply or a refusal to c.Versions.
func (c *Client) reportVersion(reply *ffcall.Reply, err error) {
	var load ffcall.Load
	var e *ffcall.Error
	switch {
	case reply != nil:
		load = reply.Load
	case errors.As(err, &e):
		load = e.Load
	}
	if c.Versions != nil && load.VM != "" {
		c.Versions.ObserveVersion(load.VM, load.Version)
	}
}

// await waits for the result of the attempt. It looks up the outcome while there is
// no response, or after the connection has failed.
func (c *Client) await(ctx context.Context, a *attempt, incarnation uint64) (*ffcall.Reply, error) {
	timer := time.NewTimer(c.lookUpDelay())
	defer timer.Stop()
	failed := 0
	for {
		select {
		case r := <-a.result:
			if r.err == nil || !connectionFailed(r.err) {
				return r.reply, r.err
			}
			return c.resolveOutcome(ctx, a, incarnation, r.err)
		case <-timer.C:
			r, running, err := c.lookUp(ctx, a, incarnation)
			failed = consecutiveFailures(failed, err)
			if err == nil && !running {
				c.pool.drop(a.vm.ForwardAddress)
				return r.reply, r.err
			}
			if failed >= maxLookUps {
				c.pool.drop(a.vm.ForwardAddress)
				return nil, &ffcall.Error{Op: "forward", Kind: ffcall.KindNoResponse, Err: err}
			}
			timer.Reset(c.lookUpDelay())
		}
	}
}

// consecutiveFailures returns failed+1 if err is not nil, otherwise 0.
func consecutiveFailures(failed int, err error) int {
	if err == nil {
		return 0
	}
	return failed + 1
}

// connectionFailed reports whether err is a failure of the connection, which leaves
// the outcome of the call unknown, and not a result of the call.
func connectionFailed(err error) bool {
	k := ffcall.KindOf(err)
	return ffcall.OutcomeOf(err) == ffcall.OutcomeUnknown && (k == ffcall.KindUnreachable || k == ffcall.KindTruncated || k == ffcall.KindMismatched)
}

// resolveOutcome looks up the outcome of an attempt whose connection failed, until
// the attempt has ended, ctx is done or maxLookUps consecutive look-ups have failed.
// cause is the failure of the connection.
func (c *Client) resolveOutcome(ctx context.Context, a *attempt, incarnation uint64, cause error) (*ffcall.Reply, error) {
	poll := time.NewTimer(0)
	defer poll.Stop()
	for failed := 0; failed < maxLookUps; {
		select {
		case <-ctx.Done():
			return nil, cancelledError(ctx, cause)
		case <-poll.C:
		}
		r, running, err := c.lookUp(ctx, a, incarnation)
		failed = consecutiveFailures(failed, err)
		if err == nil && !running {
			return r.reply, r.err
		}
		poll.Reset(pollInterval)
	}
	return nil, cause
}

func cancelledError(ctx context.Context, cause error) error {
	kind := ffcall.KindCancelled
	if ctx.Err() == context.DeadlineExceeded {
		kind = ffcall.KindDeadline
	}
	return &ffcall.Error{Op: "forward", Kind: kind, Err: cause}
}

// lookUp asks the attempt's daemon for the outcome over a new connection. It returns
// the result, or whether the attempt is still running.
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
	if now.After(a.call.Deadline.Add(responseGrace)) {
		// The gate may have removed the record of an attempt that ran.
		err = ffcall.WithOutcomeUnknown(err)
	}
	return result{reply: reply, err: err}, false, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

func (c *Client) lookUpDelay() time.Duration {
	if c.LookUpDelay > 0 {
		return c.LookUpDelay
	}
	return defaultLookUpDelay
}
