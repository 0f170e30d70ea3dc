package ffpipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync"
	"time"
)

const (
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4096
	// maxUnanswered bounds the unanswered requests of a connection.
	maxUnanswered = 16
	// maxUnwanted bounds the bytes that are read from a client behind its last request
	// while it is not answered.
	maxUnwanted = 1 << 20
)

// conn is a client connection.
type conn struct {
	server *Server
	net    net.Conn
	head   *io.LimitedReader
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// changed is signalled when a response has been sent and when the connection is
	// aborted.
	changed *sync.Cond
	// unanswered holds the unanswered requests in the order of their arrival.
	unanswered []*exchange
	// lastChosen is set once a response with "Connection: close" is chosen, or the last one
	// has been sent without. Later requests are not served.
	lastChosen bool
	// streaming reports that the response whose turn it is is sent in parts.
	streaming bool
	// unframed reports that a response is incomplete whose end will be that of the connection.
	unframed bool
	// aborted reports that the connection has been aborted, and broken that it is kept all the
	// same until its client has received what was sent.
	aborted, broken bool
	// served reports that a request has been answered.
	served bool
	// waiting reports that the reader waits for the first byte of a request.
	waiting bool
	// lingering reports that nothing more is sent.
	lingering bool
}

func newConn(s *Server, n net.Conn) *conn {
	c := &conn{server: s, net: n, head: &io.LimitedReader{R: n}}
	c.reader = bufio.NewReaderSize(c.head, readBufferSize)
	c.changed = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// run reads requests until the connection ends.
func (c *conn) run() {
	defer c.server.forget(c)
	for c.awaitRequest() {
		r, err := c.readHead()
		if err != nil {
			c.reject(err)
			break
		}
		if e := c.begin(r, c.server.Handler); e == nil || !c.awaitBody(e) {
			break
		}
	}
	c.drain()
}

// awaitRequest waits for the first byte of the next request, and until fewer than
// maxUnanswered are unanswered. It waits for the byte first, so that it learns if the client
// disconnects meanwhile.
func (c *conn) awaitRequest() bool {
	if !c.prepareRead() {
		return false
	}
	if _, err := c.reader.Peek(1); err != nil {
		c.handleReadError(err)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	for len(c.unanswered) >= maxUnanswered && !c.aborted {
		c.changed.Wait()
	}
	return !c.aborted && !c.lastChosen
}

// prepareRead sets the size limit of the next request head, and the idle timeout
// if no request is unanswered. It reports whether the connection accepts another
// request.
func (c *conn) prepareRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted || c.lastChosen {
		return false
	}
	limits := c.server.limits()
	// The buffer may also read the start of the data that follows the head.
	c.head.N = int64(limits.MaxHeaderBytes) + readBufferSize
	c.waiting = true
	c.setReadDeadline(len(c.unanswered) == 0, limits.IdleTimeout)
	return true
}

func (c *conn) setReadDeadline(bounded bool, d time.Duration) {
	var at time.Time
	if bounded && d > 0 {
		at = time.Now().Add(d)
	}
	_ = c.net.SetReadDeadline(at)
}

// handleReadError handles a read error after which no further request can follow. A
// client that disconnects abandons its unanswered requests, so they are cancelled.
// The connection is also aborted on errors other than EOF, such as the idle timeout, unless
// the client is still receiving responses then.
func (c *conn) handleReadError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if c.lastChosen || c.aborted {
		return
	}
	receiving := errors.Is(err, os.ErrDeadlineExceeded) && unreceived(c.net) > 0
	if len(c.unanswered) > 0 || !errors.Is(err, io.EOF) && !receiving {
		c.abortLocked()
	}
}

// abortLocked closes the connection and cancels its requests. It resets the connection if a
// response is incomplete whose end would be that of the connection. The caller must hold mu.
func (c *conn) abortLocked() {
	c.aborted = true
	if tcp, ok := c.net.(*net.TCPConn); ok && c.unframed {
		_ = tcp.SetLinger(0)
	}
	c.cancel()
	c.changed.Broadcast()
	_ = c.net.Close()
}

// setUnframed records whether a response is incomplete whose end will be that of c.
func (c *conn) setUnframed(unframed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unframed = unframed
}

func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortLocked()
}

// breakOff ends the connection behind an incomplete response and cancels its requests. The end
// shows the client that the response is incomplete. The connection lingers, as the client may not
// have received the earlier ones, unless it has to be reset.
func (c *conn) breakOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return
	}
	if c.unframed {
		c.abortLocked()
		return
	}
	c.aborted, c.broken = true, true
	c.cancel()
	c.changed.Broadcast()
	c.closeWrite()
	c.stopReading()
}

// closeIdle ends the connection if it waits for a request and none is unanswered. It lingers, as
// the client may not have received all responses.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && len(c.unanswered) == 0 {
		c.lastChosen = true
		c.limitRead()
	}
}

// closeServed closes the connection if it waits for another request, or for the client to close
// it, and the client has received all responses. The first request of a new connection may be on
// its way.
func (c *conn) closeServed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.served && c.waiting && len(c.unanswered) == 0
	if (idle || c.lingering) && unreceived(c.net) == 0 {
		c.abortLocked()
	}
}

// readHead reads and validates the head of a request.
func (c *conn) readHead() (*http.Request, error) {
	c.setReadDeadline(true, c.server.limits().ReadHeaderTimeout)
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.headError(err)
	}
	c.head.N = maxInt64
	c.setReadDeadline(false, 0)
	if err := check(r); err != nil {
		return nil, err
	}
	r.RemoteAddr = c.net.RemoteAddr().String()
	return r, nil
}

// maxInt64 disables the limit of an io.LimitedReader.
const maxInt64 = 1<<63 - 1

func (c *conn) headError(err error) error {
	var failed net.Error
	var target *url.Error
	switch {
	case c.head.N <= 0:
		return &Error{Op: "read a request", Kind: KindTooLarge, Err: err}
	case errors.As(err, &target):
		// It is a net.Error too, though the connection has not failed.
		return &Error{Op: "read a request", Kind: KindMalformed, Err: err}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &failed):
		return &Error{Op: "read a request", Kind: KindClosed, Err: err}
	}
	return &Error{Op: "read a request", Kind: KindMalformed, Err: err}
}

// begin queues a request and starts its goroutine. It returns nil if the
// connection accepts no more requests.
func (c *conn) begin(r *http.Request, h http.Handler) *exchange {
	e := newExchange(c, r, h)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted || c.lastChosen {
		return nil
	}
	c.unanswered = append(c.unanswered, e)
	if len(c.unanswered) == 1 {
		close(e.turn)
	}
	go e.run()
	return e
}

// awaitBody waits until the body of e has been read, and reports whether another
// request may follow.
func (c *conn) awaitBody(e *exchange) bool {
	select {
	case <-e.body.readAll:
		return !e.request.Close
	case <-e.finished:
		return e.body.done() && !e.request.Close
	case <-c.ctx.Done():
		return false
	}
}

// reject queues an error response to an unreadable request as the last response.
func (c *conn) reject(err error) {
	c.server.Log.Info().Err(err).Str("client", c.net.RemoteAddr().String()).Msg("request not read")
	status := statusOf(err)
	if status == 0 {
		c.handleReadError(err)
		return
	}
	refused := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: http.Header{}, Body: http.NoBody, ProtoMajor: 1, ProtoMinor: 1, Close: true}
	c.begin(refused, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
}

// drain waits until all requests are answered and the client has received the responses, and
// closes the connection. Meanwhile it discards what the client sends, to detect that the client
// disconnects.
func (c *conn) drain() {
	c.setReadDeadline(false, 0)
	watched := make(chan struct{})
	go c.runWatch(watched)
	c.mu.Lock()
	for len(c.unanswered) > 0 && !c.aborted {
		c.changed.Wait()
	}
	deliver := !c.aborted || c.broken
	c.mu.Unlock()
	if deliver {
		c.linger(watched)
	}
	c.abort()
	<-watched
}

// runWatch discards received data until the client disconnects, maxUnwanted bytes are
// read or the connection is closed. If the client disconnects while requests are
// unanswered, it aborts the connection.
func (c *conn) runWatch(done chan<- struct{}) {
	defer close(done)
	if n, err := io.Copy(io.Discard, io.LimitReader(c.net, maxUnwanted)); err != nil || n == maxUnwanted {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unanswered) > 0 {
		c.abortLocked()
	}
}

// answered removes e from the head of the queue and lets the next request send its
// response.
func (c *conn) answered(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unanswered) == 0 || c.unanswered[0] != e {
		return
	}
	c.unanswered = c.unanswered[1:]
	c.streaming, c.served = false, true
	if len(c.unanswered) > 0 {
		close(c.unanswered[0].turn)
	} else if c.waiting {
		c.limitRead()
	}
	c.changed.Broadcast()
}

// limitRead sets the idle timeout for a reader that already waits for a request,
// or stops that reader after the last response. The caller must hold mu.
func (c *conn) limitRead() {
	if c.lastChosen || c.aborted {
		c.stopReading()
		return
	}
	c.setReadDeadline(true, c.server.limits().IdleTimeout)
}

// stopReading wakes a reader that waits for the client.
func (c *conn) stopReading() { _ = c.net.SetReadDeadline(time.Unix(1, 0)) }
