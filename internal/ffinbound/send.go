package ffinbound

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffhop"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

const (
	// maxIdleIdempotent and maxIdleNonIdempotent are how long a connection may have
	// been idle before it is used for a call that may run again, and for one that may
	// not: the target may have dropped an idle connection without closing it.
	maxIdleIdempotent    = 5 * time.Second
	maxIdleNonIdempotent = 500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the target sends no
	// keep-alive timeout.
	defaultIdleTimeout = 2 * time.Second
	// maxBufferedBody is the length, in bytes, from which a response is streamed instead
	// of buffered whole.
	maxBufferedBody = 256 << 10
	// checkTimeout bounds a check of the connection to the target. It is shorter than an
	// entry waits until the gate asks for a body.
	checkTimeout = 100 * time.Millisecond
	// maxForeignResponses limits the responses to other attempts that are skipped.
	maxForeignResponses = 3
)

// maxIdle returns how long a connection may have been idle before it is used for c.
func maxIdle(c *ffmesh.Call) time.Duration {
	if c.Kind.Idempotent() {
		return maxIdleIdempotent
	}
	return maxIdleNonIdempotent
}

// checkConnection returns the refusal of a call whose body can be sent only once, if there
// is no connection to the target: nobody has read of the body yet, and another gate can
// still get it whole.
func (g *Gate) checkConnection(ctx context.Context, c *ffmesh.Call) *ffmesh.Reply {
	if !c.HasStreamedBody() {
		return nil
	}
	checking, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if err := g.Pool.Check(checking, maxIdle(c), time.Now().Add(defaultIdleTimeout)); err != nil {
		return g.attachLoad(g.notSent(ctx, c, ffmesh.ReasonConnect, err))
	}
	return nil
}

// awaitBody waits until the body of a call that can be sent only once has begun. Until then
// its sender may give up and promise that the call never runs. A call that cannot run is
// refused before its body is asked for.
func (g *Gate) awaitBody(ctx context.Context, c *ffmesh.Call) *ffmesh.Reply {
	if c.Stream == nil {
		return nil
	}
	if refusal := g.checkConnection(ctx, c); refusal != nil {
		return refusal
	}
	if _, refusal := g.checkTarget(c); refusal != nil {
		return g.logRefusal(c, refusal)
	}
	if err := c.Stream.Await(ctx); err != nil {
		return g.notSent(ctx, c, ffmesh.ReasonCanceled, err)
	}
	return nil
}

// send sends a call to the target and returns its reply.
func (g *Gate) send(ctx context.Context, c *ffmesh.Call, t fffleet.Target) *ffmesh.Reply {
	if refusal := g.awaitBody(ctx, c); refusal != nil {
		return refusal
	}
	conn, err := g.Pool.Get(ctx, maxIdle(c))
	if err != nil {
		return g.notSent(ctx, c, ffmesh.ReasonConnect, err)
	}
	// The target may have left while the call waited for its slot, body or connection.
	if _, refusal := g.checkTarget(c); refusal != nil {
		conn.Close()
		return g.logRefusal(c, refusal)
	}
	header := c.Header.Clone()
	c2 := *c
	c2.Target = t.ID
	g.Dialect.Prepare(header, &c2, time.Until(c.Deadline))
	req := &ffhop.Request{
		Method: c.Method, URI: c.URI, Host: c.Host, Header: header,
		Body: c.Body, Stream: c.Stream, Length: c.Length,
	}
	sentAt := time.Now()
	e, err := conn.Start(ctx, req)
	if err != nil {
		return g.exchangeFailed(ctx, c, err)
	}
	reply := g.receiveResponse(ctx, c, e, func(h http.Header) { g.recordNotice(c, t, sentAt, h) })
	if reply.ReplacedTarget() {
		g.Target.MarkReplaced(t)
	}
	return reply
}

// notSent returns the reply to a call of which no byte was sent to the target.
func (g *Gate) notSent(ctx context.Context, c *ffmesh.Call, reason ffmesh.Reason, err error) *ffmesh.Reply {
	g.connectionFailed(ctx, reason)
	if ctx.Err() != nil {
		reason = ffmesh.ReasonCanceled
	}
	g.Log.Warn().Str("request", c.ID).Str("op", "send").Stringer("reason", reason).Err(err).Msg("call not sent to the target")
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeNotRun, Reason: reason}
}

// exchangeFailed returns the reply to a call whose exchange with the target failed.
func (g *Gate) exchangeFailed(ctx context.Context, c *ffmesh.Call, err error) *ffmesh.Reply {
	var hopErr *ffhop.Error
	if errors.As(err, &hopErr) && hopErr.Kind == ffhop.KindUnsent {
		return g.notSent(ctx, c, ffmesh.ReasonBroken, err)
	}
	reason := ffmesh.ReasonBroken
	if ctx.Err() != nil {
		reason = ffmesh.ReasonCanceled
	}
	g.Log.Warn().Str("request", c.ID).Str("op", "exchange").Stringer("reason", reason).Err(err).Msg("no answer of the target")
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeUnknown, Reason: reason, Arrived: true}
}

// receiveResponse reads the response to a call and skips those to other attempts. It
// calls notice with the header of the target's own response.
func (g *Gate) receiveResponse(ctx context.Context, c *ffmesh.Call, e *ffhop.Exchange, notice func(http.Header)) *ffmesh.Reply {
	for skipped := range maxForeignResponses {
		resp, err := e.Receive()
		if err != nil {
			return g.exchangeFailed(ctx, c, err)
		}
		verdict := g.classify(c, resp, skipped == 0 && e.First())
		if verdict == ffmesh.VerdictAnswer || verdict == ffmesh.VerdictNotRun {
			notice(resp.Header)
		}
		switch verdict {
		case ffmesh.VerdictOtherAttempt:
			g.Log.Warn().Str("request", c.ID).Int("status", resp.StatusCode).Msg("skipped a response to another attempt")
			if err := e.Drain(resp); err != nil || resp.Close {
				e.Abort()
				return g.invalidResponse(c, "connection ended after a response to another attempt")
			}
		case ffmesh.VerdictNotRun, ffmesh.VerdictMisdirected:
			return g.notRun(c, e, resp, verdict)
		case ffmesh.VerdictInvalid:
			e.Abort()
			return g.invalidResponse(c, "response is not from the target")
		case ffmesh.VerdictAnswer:
			return g.readResponse(ctx, c, e, resp)
		}
	}
	e.Abort()
	return g.invalidResponse(c, "too many responses to other attempts")
}

// classify classifies a response to c. One that does not name its attempt may be a copy
// of an earlier response on the connection. It counts only as the first response there,
// and the connection is not reused after it.
func (g *Gate) classify(c *ffmesh.Call, resp *http.Response, first bool) ffmesh.Verdict {
	if !g.Dialect.Identified(resp.Header) {
		resp.Close = true
		if !first {
			return ffmesh.VerdictInvalid
		}
	}
	return g.Dialect.Classify(c, resp.StatusCode, resp.Header)
}

// invalidResponse returns the reply to a call that may have run but has no valid
// response.
func (g *Gate) invalidResponse(c *ffmesh.Call, detail string) *ffmesh.Reply {
	g.Log.Warn().Str("request", c.ID).Str("why", detail).Msg("spoiled answer")
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeUnknown, Reason: ffmesh.ReasonInvalidAnswer, Arrived: true}
}

// notRun returns the reply to a call that the target reports as not run.
func (g *Gate) notRun(c *ffmesh.Call, e *ffhop.Exchange, resp *http.Response, verdict ffmesh.Verdict) *ffmesh.Reply {
	if err := e.Drain(resp); err != nil {
		e.Abort()
	} else {
		g.finishExchange(e, resp)
	}
	reason := ffmesh.ReasonShed
	if verdict == ffmesh.VerdictMisdirected {
		reason = ffmesh.ReasonMisdirected
	}
	g.Log.Info().Str("request", c.ID).Int("status", resp.StatusCode).Stringer("reason", reason).Msg("target did not run the call")
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeNotRun, Reason: reason, Arrived: true}
}

// readResponse reads the body of a response, whole if it is short enough.
func (g *Gate) readResponse(ctx context.Context, c *ffmesh.Call, e *ffhop.Exchange, resp *http.Response) *ffmesh.Reply {
	reply := &ffmesh.Reply{
		Outcome: ffmesh.OutcomeRan, Arrived: true,
		Status: resp.StatusCode, Header: ffmesh.EndToEnd(resp.Header),
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody))
	if err != nil {
		e.Abort()
		if ctx.Err() != nil {
			return &ffmesh.Reply{Outcome: ffmesh.OutcomeUnknown, Reason: ffmesh.ReasonCanceled, Arrived: true}
		}
		return g.invalidResponse(c, "response body is incomplete")
	}
	reply.Body = body
	if len(body) == maxBufferedBody {
		reply.Length = max(resp.ContentLength, 0)
		reply.Stream = ffhop.NewTrackedBody(ctx, resp.Body, func(err error) {
			if err != io.EOF {
				e.Abort()
				return
			}
			g.finishExchange(e, resp)
		})
		return reply
	}
	g.finishExchange(e, resp)
	return reply
}

// finishExchange ends an exchange and returns its connection to the pool if it can be
// reused.
func (g *Gate) finishExchange(e *ffhop.Exchange, resp *http.Response) {
	if conn := e.Finish(resp); conn != nil {
		g.Pool.Put(conn, time.Now().Add(ffhop.KeepAliveTimeout(resp, defaultIdleTimeout)))
	}
}
