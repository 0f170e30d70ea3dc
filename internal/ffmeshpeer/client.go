package ffmeshpeer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffhop"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

const (
	// dialTimeout bounds a connection to another daemon.
	dialTimeout = 250 * time.Millisecond
	// signTimeout is how long a gate may take to ask for a call's body, or to show
	// that it has got a call that went out whole. A VM that is frozen, cut off or
	// overrun does not do so in time.
	signTimeout = 150 * time.Millisecond
	// idleKept is how long an idle connection to another daemon is kept; the
	// daemon's server closes it later than that.
	idleKept = 20 * time.Second
	// maxIdle bounds the idle connections to one daemon.
	maxIdle = 16
	// heldAnswer is the longest answer that is held whole, in bytes.
	heldAnswer = 256 << 10
)

// Client reaches the gates of other VMs. The zero value needs Port.
type Client struct {
	// Port is the port on which every daemon serves calls.
	Port uint16
	Log  zerolog.Logger

	mu    sync.Mutex
	pools map[netip.Addr]*ffhop.Pool
}

// Gate returns the gate of a VM.
func (c *Client) Gate(vm netip.Addr) ffmesh.Gate { return remote{client: c, vm: vm} }

// Pool returns the connections to a VM.
func (c *Client) Pool(vm netip.Addr) *ffhop.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		c.pools = make(map[netip.Addr]*ffhop.Pool)
	}
	p, ok := c.pools[vm]
	if !ok {
		p = &ffhop.Pool{
			Address: netip.AddrPortFrom(vm, c.Port).String(),
			Dialer:  ffhop.Dialer(dialTimeout),
			MaxIdle: maxIdle,
		}
		c.pools[vm] = p
	}
	return p
}

// Trim closes connections that were idle for long.
func (c *Client) Trim(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.Trim(now)
	}
}

type remote struct {
	client *Client
	vm     netip.Addr
}

// Do implements ffmesh.Gate.
func (r remote) Do(ctx context.Context, c *ffmesh.Call) *ffmesh.Reply {
	pool := r.client.Pool(r.vm)
	conn, err := pool.Get(ctx, idleKept)
	if err != nil {
		return r.failed(ctx, c, ffmesh.OutcomeNotRun, ffmesh.ReasonConnect, err)
	}
	head, err := headOf(c, time.Now())
	if err != nil {
		conn.Close()
		return r.failed(ctx, c, ffmesh.OutcomeNotRun, ffmesh.ReasonBroken, err)
	}
	header := c.Header.Clone()
	header.Set(callHeader, head)
	req := &ffhop.Request{
		Method: c.Method, URI: c.URI, Host: c.Host, Header: header,
		Body: c.Body, Stream: c.Stream, Length: c.Length,
	}
	if c.Silent != nil {
		req.Sign, req.Silent = signTimeout, c.Silent
	} else {
		req.Consent = signTimeout
	}
	e, err := conn.Start(ctx, req)
	if err != nil {
		return r.broken(ctx, c, pool, err)
	}
	resp, err := e.Receive()
	if err != nil {
		return r.broken(ctx, c, pool, err)
	}
	return r.reply(ctx, c, pool, e, resp)
}

// broken reports a call whose connection failed. Others that were idle beside it
// may be as silent.
func (r remote) broken(ctx context.Context, c *ffmesh.Call, pool *ffhop.Pool, err error) *ffmesh.Reply {
	if ctx.Err() == nil {
		pool.Clear()
	}
	var failed *ffhop.Error
	if errors.As(err, &failed) && failed.Kind != ffhop.KindBroken {
		return r.failed(ctx, c, ffmesh.OutcomeNotRun, ffmesh.ReasonSilent, err)
	}
	return r.failed(ctx, c, ffmesh.OutcomeUnknown, ffmesh.ReasonBroken, err)
}

func (r remote) failed(ctx context.Context, c *ffmesh.Call, o ffmesh.Outcome, reason ffmesh.Reason, err error) *ffmesh.Reply {
	if ctx.Err() != nil {
		reason = ffmesh.ReasonCanceled
	}
	r.client.Log.Warn().Str("request", c.ID).Stringer("peer", r.vm).Stringer("outcome", o).Stringer("reason", reason).
		Err(err).Msg("no reply of a gate")
	return &ffmesh.Reply{Outcome: o, Reason: reason, Arrived: o != ffmesh.OutcomeNotRun}
}

func (r remote) reply(ctx context.Context, c *ffmesh.Call, pool *ffhop.Pool, e *ffhop.Exchange, resp *http.Response) *ffmesh.Reply {
	var head replyHead
	if err := decode(resp.Header.Get(replyHeader), &head); err != nil {
		e.Abort()
		return r.failed(ctx, c, ffmesh.OutcomeUnknown, ffmesh.ReasonSpoiled, err)
	}
	reply := head.reply()
	resp.Header.Del(replyHeader)
	reply.Header = ffmesh.EndToEnd(resp.Header)
	body, err := io.ReadAll(io.LimitReader(resp.Body, heldAnswer))
	if err != nil {
		e.Abort()
		return r.failed(ctx, c, ffmesh.OutcomeUnknown, ffmesh.ReasonBroken, err)
	}
	reply.Body = body
	end := func() {
		if conn := e.Finish(resp); conn != nil {
			pool.Put(conn, time.Now().Add(idleKept))
		}
	}
	if len(body) < heldAnswer {
		end()
		return reply
	}
	reply.Stream = ffhop.NewRest(resp.Body, func(err error) {
		if err != io.EOF {
			e.Abort()
			return
		}
		end()
	})
	return reply
}
