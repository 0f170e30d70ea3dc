package fftarget

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffhead"
)

// attempt tracks the connections that net/http uses for one request.
type attempt struct {
	deadline time.Time
	// cancel ends the request.
	cancel context.CancelFunc
	conn   *conn
}

// trace returns ctx with a client trace that calls gotConn.
func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
}

// gotConn records the connection of the request. net/http gets another one when it
// retries the request. The retry may continue if no byte was sent over the first
// connection, such as an idle one that turned out to be closed; otherwise the
// request is cancelled, because it may run twice.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	next, ok := info.Conn.(*conn)
	if !ok {
		panic("fftarget: connection was not created by dial")
	}
	if a.conn != nil && !a.conn.abandon() {
		next.abandon()
		a.cancel()
		return
	}
	a.conn = next
	next.begin(a.deadline)
}

// fail closes the connection and returns an error with the outcome of the call:
// not run if no byte was sent, otherwise unknown.
func (a *attempt) fail(ctx context.Context, kind ffcall.Kind, err error) *ffcall.Error {
	failure := &ffcall.Error{Op: "call target", Kind: kind, Outcome: ffcall.OutcomeUnknown, Err: err}
	if a.conn == nil || a.conn.abandon() {
		failure.Outcome = ffcall.OutcomeNotRun
	}
	switch {
	case errors.Is(err, errDeadlinePassed), errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Kind = ffcall.KindDeadline
	case ctx.Err() != nil:
		failure.Kind = ffcall.KindCancelled
	}
	return failure
}

// try sends the call and reads the whole response; ctx cancels it.
func (c *Client) try(ctx context.Context, call *ffcall.Call) (*ffcall.Reply, *ffcall.Error) {
	requestCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempt{deadline: call.Deadline, cancel: cancel}
	r, err := c.request(a.trace(requestCtx), call)
	if err != nil {
		return nil, ffcall.Refuse("call target", ffcall.KindNoRoute, err)
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		failure := a.fail(ctx, ffcall.KindUnreachable, err)
		if failure.Kind == ffcall.KindDeadline {
			// The idle connections may have stopped responding too.
			c.transport.CloseIdleConnections()
		}
		return nil, failure
	}
	defer func() { _ = resp.Body.Close() }()
	if err := ffhead.CheckFields(resp.Header); err != nil {
		return nil, a.fail(ctx, ffcall.KindTruncated, err)
	}
	body, kind, err := c.readBody(resp)
	if err != nil {
		return nil, a.fail(ctx, kind, err)
	}
	if shed(resp) {
		return nil, shedError(resp)
	}
	return &ffcall.Reply{Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: body}, nil
}

// shed reports whether the target rejected the call without running it.
func shed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get(outcomeHeader) == ffcall.OutcomeNotRun.String()
}
