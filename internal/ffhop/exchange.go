package ffhop

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffhead"
)

// maxDrainBytes and maxDrainTime bound a body that is read only to reuse its connection.
const (
	maxDrainBytes = 64 << 10
	maxDrainTime  = 100 * time.Millisecond
)

// Exchange is a request in flight on a connection.
type Exchange struct {
	conn       *Conn
	ctx        context.Context
	release    func() bool
	method     string
	bodyResult chan error
	// sender sends the body in the background; nil if that was not needed.
	sender  *sender
	sentAny bool
	// earlyResponse is a final response received instead of "100 Continue".
	earlyResponse *http.Response
	// firstByteDeadline is when onSilent is called unless the peer has sent a byte;
	// zero if there is no such limit.
	firstByteDeadline time.Time
	onSilent          func()
}

// Start sends a request. A long body is sent in the background, and nothing is sent of a
// request whose streamed body has not begun. On error the connection is closed. After
// KindUnsent and KindUnacked the peer has not received the whole request and never will.
func (c *Conn) Start(ctx context.Context, r *Request) (*Exchange, error) {
	e := &Exchange{conn: c, ctx: ctx, method: r.Method, release: c.interruptOnDone(ctx)}
	c.head.begin()
	if r.ContinueTimeout > 0 {
		return e.startExpectContinue(r)
	}
	body, err := r.openStream(ctx)
	if err != nil {
		return nil, e.fail("open the body", err)
	}
	head := r.encodeHead()
	inline := r.Stream == nil && len(r.Body) <= maxInlineBody
	if inline {
		head.Write(r.Body)
	}
	n, err := c.net.Write(head.Bytes())
	e.sentAny = n > 0
	if err != nil {
		return nil, e.fail("send", err)
	}
	if !inline {
		e.startBody(r, body)
	}
	if r.FirstByteTimeout > 0 && r.OnFirstByteTimeout != nil {
		e.firstByteDeadline, e.onSilent = time.Now().Add(r.FirstByteTimeout), r.OnFirstByteTimeout
	}
	return e, nil
}

// startExpectContinue sends the head, waits for "100 Continue" and then sends the
// body. An empty body is sent as the last chunk of a chunked one.
func (e *Exchange) startExpectContinue(r *Request) (*Exchange, error) {
	if _, err := e.conn.net.Write(r.encodeHead().Bytes()); err != nil {
		return nil, e.fail("send", err)
	}
	resp, err := e.awaitContinue(r)
	if err != nil {
		return nil, e.failUnacked(err)
	}
	_ = e.conn.net.SetReadDeadline(time.Time{})
	if err := e.ctx.Err(); err != nil {
		return nil, e.failUnacked(err)
	}
	if resp.StatusCode != http.StatusContinue {
		e.conn.head.end()
		e.earlyResponse = resp
		return e, nil
	}
	e.sentAny = true
	if r.Stream == nil && len(r.Body) <= maxInlineBody {
		body := r.Body
		if len(body) == 0 {
			body = []byte(lastChunk)
		}
		if _, err := e.conn.net.Write(body); err != nil {
			return nil, e.fail("send", err)
		}
		return e, nil
	}
	body, err := r.openStream(e.ctx)
	if err != nil {
		return nil, e.failUnacked(err)
	}
	e.startBody(r, body)
	return e, nil
}

// awaitContinue waits for "100 Continue" or a final response. Each "102 Processing"
// restarts the timeout.
func (e *Exchange) awaitContinue(r *Request) (*http.Response, error) {
	for {
		if err := e.ctx.Err(); err != nil {
			return nil, err
		}
		_ = e.conn.net.SetReadDeadline(time.Now().Add(r.ContinueTimeout))
		resp, err := e.readHead()
		if err != nil || resp.StatusCode != http.StatusProcessing {
			return resp, err
		}
	}
}

// failUnacked ends an exchange whose peer did not ask for the body. It closes the
// connection with a reset, which discards data that is still being sent.
func (e *Exchange) failUnacked(err error) error {
	e.conn.discardUnsent()
	failure := e.fail("await 100 Continue", err).(*Error)
	failure.Kind = KindUnacked
	return failure
}

func (e *Exchange) fail(op string, err error) error {
	e.close()
	kind := KindBroken
	if !e.sentAny {
		kind = KindUnsent
	}
	if cause := context.Cause(e.ctx); cause != nil {
		err = cause
	}
	if sent, bodyErr := e.bodySent(); !sent && bodyErr != nil {
		err = fmt.Errorf("%w; body not sent: %w", err, bodyErr)
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

// readHead reads the head of the next response, final or interim, and fails if it is not
// valid: a response must not be skipped as an interim one unless it is.
func (e *Exchange) readHead() (*http.Response, error) {
	resp, err := http.ReadResponse(e.conn.reader, &http.Request{Method: e.method})
	if err != nil {
		return nil, err
	}
	return resp, ffhead.CheckResponse(resp)
}

// Receive reads the head of the final response and skips interim ones. On error
// the connection is closed.
func (e *Exchange) Receive() (*http.Response, error) {
	if e.earlyResponse != nil {
		return e.checkEnd(e.earlyResponse), nil
	}
	if err := e.awaitFirstByte(); err != nil {
		return nil, e.fail("await first byte", err)
	}
	for {
		resp, err := e.readHead()
		if err != nil {
			return nil, e.fail("receive", err)
		}
		if resp.StatusCode >= http.StatusOK {
			e.conn.head.end()
			return e.checkEnd(resp), nil
		}
	}
}

// awaitFirstByte waits for the first byte of the response, and calls onSilent if it
// does not arrive in time.
func (e *Exchange) awaitFirstByte() error {
	if e.firstByteDeadline.IsZero() {
		return nil
	}
	_ = e.conn.net.SetReadDeadline(e.firstByteDeadline)
	e.firstByteDeadline = time.Time{}
	if _, err := e.conn.reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) && e.ctx.Err() == nil {
		e.onSilent()
	}
	_ = e.conn.net.SetReadDeadline(time.Time{})
	return e.ctx.Err()
}

// First reports whether the exchange is the first on its connection.
func (e *Exchange) First() bool { return e.conn.Unused }

// Drain reads the rest of a body that nobody needs, so that the connection can be
// reused. It fails for a body that is long, or that does not end soon.
func (e *Exchange) Drain(resp *http.Response) error {
	_ = e.conn.net.SetReadDeadline(time.Now().Add(maxDrainTime))
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
	_ = e.conn.net.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		return &Error{Op: "drain", Kind: KindBroken, Err: err}
	case n == maxDrainBytes:
		return &Error{Op: "drain", Kind: KindBroken, Err: errBodyTooLong}
	}
	return e.ctx.Err()
}

// Abort cancels the exchange and closes its connection.
func (e *Exchange) Abort() { e.close() }

// close closes the connection. If the exchange was cancelled, it resets the connection:
// the peer must not read and run the request later.
func (e *Exchange) close() {
	e.release()
	if e.ctx.Err() != nil {
		e.conn.discardUnsent()
	}
	e.conn.Close()
}

// Finish ends an exchange whose response was read completely. It returns the
// connection if it can be reused; otherwise it closes it and returns nil.
func (e *Exchange) Finish(resp *http.Response) *Conn {
	sent, _ := e.bodySent()
	if e.release() && e.earlyResponse == nil && !resp.Close && e.conn.reader.Buffered() == 0 && sent {
		return e.conn
	}
	e.conn.Close()
	return nil
}
