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
	// dialTimeout bounds the time to connect to another daemon.
	dialTimeout = 250 * time.Millisecond
	// ackTimeout is how long a gate may take to ask for a call's body, or to
	// acknowledge a call that was sent with its body. A VM that is frozen, partitioned
	// or overloaded does not do so in time.
	ackTimeout = 150 * time.Millisecond
	// idleConnTimeout is how long an idle connection to another daemon is kept. The
	// daemon's server closes idle connections later than that.
	idleConnTimeout = 20 * time.Second
	// maxIdle is the maximum number of idle connections to one daemon.
	maxIdle = 16
	// maxBufferedAnswer is the length in bytes from which a response body is streamed
	// instead of buffered.
	maxBufferedAnswer = 256 << 10
)

// Client connects to the gates of other VMs. Port must be set.
type Client struct {
	// Port is the port on which every daemon serves calls.
	Port uint16
	Log  zerolog.Logger

	mu    sync.Mutex
	pools map[netip.Addr]*ffhop.Pool
}

// Gate returns a remote gate that forwards calls to a VM.
func (c *Client) Gate(vm netip.Addr) ffmesh.Gate { return remoteGate{client: c, vm: vm} }

// Pool returns the connection pool of a VM, creating it on first use.
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
			Dialer:  ffhop.NewDialer(dialTimeout),
			MaxIdle: maxIdle,
		}
		c.pools[vm] = p
	}
	return p
}

// Trim closes the idle connections that have expired.
func (c *Client) Trim(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.CloseExpired(now)
	}
}

// remoteGate is the gate of another VM.
type remoteGate struct {
	client *Client
	vm     netip.Addr
}

// Do implements ffmesh.Gate.
func (r remoteGate) Do(ctx context.Context, c *ffmesh.Call) *ffmesh.Reply {
	pool := r.client.Pool(r.vm)
	conn, err := pool.Get(ctx, idleConnTimeout)
	if err != nil {
		return r.failedReply(ctx, c, ffmesh.OutcomeNotRun, ffmesh.ReasonConnect, err)
	}
	head, err := encodeCallHead(c, time.Now())
	if err != nil {
		conn.Close()
		return r.failedReply(ctx, c, ffmesh.OutcomeNotRun, ffmesh.ReasonBroken, err)
	}
	header := c.Header.Clone()
	header.Set(callHeader, head)
	setOptional(header, c)
	req := &ffhop.Request{
		Method: c.Method, URI: c.URI, Host: c.Host, Header: header,
		Body: c.Body, Stream: c.Stream, Length: c.Length,
	}
	if c.OnSilence != nil {
		req.FirstByteTimeout, req.OnFirstByteTimeout = ackTimeout, c.OnSilence
	} else {
		req.ContinueTimeout = ackTimeout
	}
	e, err := conn.Start(ctx, req)
	if err != nil {
		return r.connectionFailed(ctx, c, pool, err)
	}
	resp, err := e.Receive()
	if err != nil {
		return r.connectionFailed(ctx, c, pool, err)
	}
	return r.readReply(ctx, c, pool, e, resp)
}

// connectionFailed returns the reply for a call whose connection failed, and closes
// the idle connections to the VM, since they may be dead as well.
func (r remoteGate) connectionFailed(ctx context.Context, c *ffmesh.Call, pool *ffhop.Pool, err error) *ffmesh.Reply {
	if ctx.Err() == nil {
		pool.CloseIdle()
	}
	var failed *ffhop.Error
	if errors.As(err, &failed) && failed.Kind != ffhop.KindBroken {
		return r.failedReply(ctx, c, ffmesh.OutcomeNotRun, ffmesh.ReasonSilent, err)
	}
	return r.failedReply(ctx, c, ffmesh.OutcomeUnknown, ffmesh.ReasonBroken, err)
}

// failedReply logs err and returns the reply for a failed call.
func (r remoteGate) failedReply(ctx context.Context, c *ffmesh.Call, o ffmesh.Outcome, reason ffmesh.Reason, err error) *ffmesh.Reply {
	if ctx.Err() != nil {
		reason = ffmesh.ReasonCanceled
	}
	r.client.Log.Warn().Str("request", c.ID).Stringer("peer", r.vm).Stringer("outcome", o).Stringer("reason", reason).
		Err(err).Msg("no reply from the gate")
	return &ffmesh.Reply{Outcome: o, Reason: reason, Arrived: o != ffmesh.OutcomeNotRun}
}

// readReply reads the gate's reply. A body of maxBufferedAnswer bytes or more is
// returned as a stream.
func (r remoteGate) readReply(ctx context.Context, c *ffmesh.Call, pool *ffhop.Pool, e *ffhop.Exchange, resp *http.Response) *ffmesh.Reply {
	var head replyHead
	err := decode(resp.Header.Get(replyHeader), &head)
	if err == nil {
		err = head.check()
	}
	if err != nil {
		e.Abort()
		return r.failedReply(ctx, c, ffmesh.OutcomeUnknown, ffmesh.ReasonInvalidAnswer, err)
	}
	reply := head.reply()
	resp.Header.Del(replyHeader)
	reply.Header = ffmesh.EndToEnd(resp.Header)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswer))
	if err != nil {
		e.Abort()
		return r.failedReply(ctx, c, ffmesh.OutcomeUnknown, ffmesh.ReasonBroken, err)
	}
	reply.Body = body
	end := func() {
		if conn := e.Finish(resp); conn != nil {
			pool.Put(conn, time.Now().Add(idleConnTimeout))
		}
	}
	if len(body) < maxBufferedAnswer {
		end()
		return reply
	}
	reply.Length = max(resp.ContentLength, 0)
	reply.Stream = ffhop.NewTrackedBody(ctx, resp.Body, func(err error) {
		if err != io.EOF {
			e.Abort()
			return
		}
		end()
	})
	return reply
}
