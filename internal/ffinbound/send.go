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
	// idleSafe and idleOnce are how long a connection may have been idle before it
	// carries a call that may run again, and one that may not: the target may
	// have forgotten an idle connection without a word.
	idleSafe = 5 * time.Second
	idleOnce = 500 * time.Millisecond
	// keepDefault is how long a connection is kept when the target does not say.
	keepDefault = 2 * time.Second
	// heldBody is the longest answer that is held whole before it is passed on, in bytes.
	heldBody = 256 << 10
	// foreignAnswers bounds the answers to other attempts that are skipped.
	foreignAnswers = 3
)

// send passes a call on to the target.
func (g *Gate) send(ctx context.Context, c *ffmesh.Call, t fffleet.Target) *ffmesh.Reply {
	maxIdle := idleOnce
	if c.Kind.Idempotent() {
		maxIdle = idleSafe
	}
	conn, err := g.Pool.Get(ctx, maxIdle)
	if err != nil {
		return g.unsent(ctx, c, ffmesh.ReasonConnect, err)
	}
	header := c.Header.Clone()
	c2 := *c
	c2.Target = t.ID
	g.Dialect.Prepare(header, &c2, time.Until(c.Deadline))
	req := &ffhop.Request{
		Method: c.Method, URI: c.URI, Host: c.Host, Header: header,
		Body: c.Body, Stream: c.Stream, Length: c.Length,
	}
	e, err := conn.Start(ctx, req)
	if err != nil {
		return g.broken(ctx, c, err)
	}
	return g.receive(ctx, c, e)
}

// unsent reports a call of which the target got no byte.
func (g *Gate) unsent(ctx context.Context, c *ffmesh.Call, reason ffmesh.Reason, err error) *ffmesh.Reply {
	if ctx.Err() != nil {
		reason = ffmesh.ReasonCanceled
	}
	g.Log.Warn().Str("request", c.ID).Str("op", "send").Stringer("reason", reason).Err(err).Msg("not sent to the target")
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeNotRun, Reason: reason}
}

// broken reports a call whose exchange failed.
func (g *Gate) broken(ctx context.Context, c *ffmesh.Call, err error) *ffmesh.Reply {
	var failed *ffhop.Error
	if errors.As(err, &failed) && failed.Kind == ffhop.KindUnsent {
		return g.unsent(ctx, c, ffmesh.ReasonBroken, err)
	}
	reason := ffmesh.ReasonBroken
	if ctx.Err() != nil {
		reason = ffmesh.ReasonCanceled
	}
	g.Log.Warn().Str("request", c.ID).Str("op", "exchange").Stringer("reason", reason).Err(err).Msg("no answer of the target")
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeUnknown, Reason: reason, Arrived: true}
}

// receive reads the answer to a call and skips those to other attempts.
func (g *Gate) receive(ctx context.Context, c *ffmesh.Call, e *ffhop.Exchange) *ffmesh.Reply {
	for range foreignAnswers {
		resp, err := e.Receive()
		if err != nil {
			return g.broken(ctx, c, err)
		}
		switch verdict := g.Dialect.Judge(c, resp.StatusCode, resp.Header); verdict {
		case ffmesh.VerdictForeign:
			g.Log.Warn().Str("request", c.ID).Int("status", resp.StatusCode).Msg("skipped an answer to another attempt")
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
				e.Abort()
				return g.spoiled(c, "broken answer to another attempt")
			}
		case ffmesh.VerdictNotRun, ffmesh.VerdictMisdirect:
			return g.notRun(c, e, resp, verdict)
		case ffmesh.VerdictSpoiled:
			e.Abort()
			return g.spoiled(c, "answer is not the target's")
		case ffmesh.VerdictAnswer:
			return g.answer(ctx, c, e, resp)
		}
	}
	e.Abort()
	return g.spoiled(c, "answers to other attempts only")
}

func (g *Gate) spoiled(c *ffmesh.Call, why string) *ffmesh.Reply {
	g.Log.Warn().Str("request", c.ID).Str("why", why).Msg("spoiled answer")
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeUnknown, Reason: ffmesh.ReasonSpoiled, Arrived: true}
}

// notRun reports a call that the target says it did not run.
func (g *Gate) notRun(c *ffmesh.Call, e *ffhop.Exchange, resp *http.Response, verdict ffmesh.Verdict) *ffmesh.Reply {
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		e.Abort()
	} else {
		g.finish(e, resp)
	}
	reason := ffmesh.ReasonShed
	if verdict == ffmesh.VerdictMisdirect {
		reason = ffmesh.ReasonMisdirect
	}
	g.Log.Info().Str("request", c.ID).Int("status", resp.StatusCode).Stringer("reason", reason).Msg("target did not run the call")
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeNotRun, Reason: reason, Arrived: true}
}

// answer reads the body of an answer, whole if it is short enough.
func (g *Gate) answer(ctx context.Context, c *ffmesh.Call, e *ffhop.Exchange, resp *http.Response) *ffmesh.Reply {
	reply := &ffmesh.Reply{
		Outcome: ffmesh.OutcomeRan, Arrived: true,
		Status: resp.StatusCode, Header: ffmesh.EndToEnd(resp.Header),
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, heldBody))
	if err != nil {
		e.Abort()
		if ctx.Err() != nil {
			return &ffmesh.Reply{Outcome: ffmesh.OutcomeUnknown, Reason: ffmesh.ReasonCanceled, Arrived: true}
		}
		return g.spoiled(c, "answer broke off")
	}
	reply.Body = body
	if len(body) == heldBody {
		reply.Stream = ffhop.NewRest(resp.Body, func(err error) {
			if err != io.EOF {
				e.Abort()
				return
			}
			g.finish(e, resp)
		})
		return reply
	}
	g.finish(e, resp)
	return reply
}

// finish ends an exchange and keeps its connection if it is sound.
func (g *Gate) finish(e *ffhop.Exchange, resp *http.Response) {
	if conn := e.Finish(resp); conn != nil {
		g.Pool.Put(conn, time.Now().Add(ffhop.KeepFor(resp, keepDefault)))
	}
}
