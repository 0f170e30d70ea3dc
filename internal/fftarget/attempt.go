package fftarget

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// attempt follows one request of net/http over its connections.
type attempt struct {
	deadline time.Time
	// cancel ends the request.
	cancel context.CancelFunc
	conn   *conn
}

// trace returns ctx with a trace that reports connections to a.
func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
}

// gotConn takes the connection for the request. net/http asks for another one
// when it repeats a request by itself: welcome when an idle connection turned
// out dead before any byte went out, else the request ends.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	next, ok := info.Conn.(*conn)
	if !ok {
		panic("fftarget: connection was not dialled here")
	}
	if a.conn != nil && !a.conn.abandon() {
		next.abandon()
		a.cancel()
		return
	}
	a.conn = next
	next.begin(a.deadline)
}

// fail closes the connection and returns an error with what is known of the call.
func (a *attempt) fail(ctx context.Context, kind ffcall.Kind, err error) *ffcall.Error {
	failure := &ffcall.Error{Op: "call target", Kind: kind, Outcome: ffcall.OutcomeUnknown, Err: err}
	if a.conn == nil || a.conn.abandon() {
		failure.Outcome = ffcall.OutcomeNotRun
	}
	switch {
	case errors.Is(err, errLate), errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Kind = ffcall.KindDeadline
	case ctx.Err() != nil:
		failure.Kind = ffcall.KindCancelled
	}
	return failure
}

// try sends the call, and ends it with ctx.
func (c *Client) try(ctx context.Context, call *ffcall.Call) (*ffcall.Reply, *ffcall.Error) {
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempt{deadline: call.Deadline, cancel: cancel}
	r, err := c.request(a.trace(sending), call)
	if err != nil {
		return nil, ffcall.Refuse("call target", ffcall.KindNoRoute, err)
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		failure := a.fail(ctx, ffcall.KindUnreachable, err)
		if failure.Kind == ffcall.KindDeadline {
			// What silenced this connection may have silenced the idle ones too.
			c.transport.CloseIdleConnections()
		}
		return nil, failure
	}
	defer func() { _ = resp.Body.Close() }()
	body, kind, err := c.readBody(resp)
	if err != nil {
		return nil, a.fail(ctx, kind, err)
	}
	if shed(resp) {
		return nil, shedError(resp)
	}
	return &ffcall.Reply{Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: body}, nil
}

// shed reports whether the target says that the call did not run.
func shed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get(outcomeHeader) == ffcall.OutcomeNotRun.String()
}
