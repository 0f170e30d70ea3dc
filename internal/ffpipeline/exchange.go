package ffpipeline

import (
	"context"
	"net/http"
	"runtime/debug"
)

// exchange is a request with its response.
type exchange struct {
	conn    *conn
	request *http.Request
	handler http.Handler
	body    *body
	writer  *writer
	// turn is closed when every earlier request has been answered, and finished when
	// this one is done, answered or not.
	turn     chan struct{}
	finished chan struct{}
	// started reports that the handler may run; it is guarded by conn.mu.
	started bool
	cancel  context.CancelFunc
}

func newExchange(c *conn, r *http.Request, h http.Handler) *exchange {
	e := &exchange{conn: c, handler: h, turn: make(chan struct{}), finished: make(chan struct{})}
	e.body = newBody(e, r)
	ctx, cancel := context.WithCancel(c.ctx)
	e.cancel = cancel
	e.request = r.WithContext(ctx)
	e.request.Body = e.body
	e.writer = &writer{e: e, header: make(http.Header)}
	return e
}

// run calls the handler and sends the response.
func (e *exchange) run() {
	defer e.cancel()
	defer e.conn.answered(e)
	defer close(e.finished)
	defer e.writer.held.release()
	if !e.mayStart() {
		return
	}
	if !e.serve() || e.writer.finish() != nil {
		e.conn.breakOff()
	}
}

// mayStart waits until the request may run. It reports false if the request must
// not run.
func (e *exchange) mayStart() bool {
	if e.conn.server.ahead(e.request) && e.conn.admit(e) {
		return true
	}
	select {
	case <-e.turn:
	case <-e.conn.ctx.Done():
		return false
	}
	return e.conn.admit(e)
}

// admit marks e as started unless the connection was aborted, an earlier response is the
// last one, or one is sent in parts: the connection ends if that breaks off.
func (c *conn) admit(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.started = !c.aborted && !c.lastChosen && !c.streaming
	return e.started
}

// mayStream reports whether e may send the first part of its response: its turn has come,
// and no later request has started, whose response would be lost if this one breaks off.
func (c *conn) mayStream(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.unanswered {
		if other != e && (other.started || other == c.unanswered[0]) {
			return false
		}
	}
	c.streaming = true
	return true
}

// beginStream records that a response whose turn it is is sent in parts.
func (c *conn) beginStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming = true
}

// serve calls the handler and reports whether there is a response. After an unexpected error
// of the handler that is a 500, unless a part of another one was sent.
func (e *exchange) serve() (ok bool) {
	defer func() {
		if reason := recover(); reason != nil && reason != http.ErrAbortHandler {
			e.conn.server.Log.Error().Interface("panic", reason).Bytes("stack", debug.Stack()).Msg("handler failed")
			ok = e.writer.Reset()
			e.writer.WriteHeader(http.StatusInternalServerError)
		}
	}()
	e.handler.ServeHTTP(e.writer, e.request)
	return true
}

// decideLast decides whether the response of e, which is about to be sent, is the
// last of the connection. If the request body has been read, the response is not
// the last while later requests have started.
func (c *conn) decideLast(e *exchange, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wanted && e.body.done() {
		for _, later := range c.unanswered {
			if later != e && later.started {
				return false
			}
		}
	}
	c.lastChosen = c.lastChosen || wanted
	return wanted
}
