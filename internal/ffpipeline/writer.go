package ffpipeline

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// flushSize is the size of the unsent part of a response body, in bytes, from which it is
// flushed.
const flushSize = 64 << 10

// maxHeld is the longest part of a response that is held in memory, in bytes.
const maxHeld = 4 << 20

// lastChunk terminates a chunked body.
const lastChunk = "0\r\n\r\n"

// writer is the http.ResponseWriter of one request. It sends nothing before the
// responses to earlier requests have been sent.
type writer struct {
	e      *exchange
	header http.Header
	status int
	// body is what has not been sent of the body.
	body unsent
	// length is the Content-Length that the handler set, -1 if none; written counts
	// the bytes of the body that it wrote.
	length  int64
	written int64
	// sent reports that the head has been encoded, chunked that the body is sent in
	// chunks.
	sent    bool
	chunked bool
	held    reservation
}

// Header implements http.ResponseWriter.
func (w *writer) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if w.status != 0 || status < http.StatusOK {
		return
	}
	w.status = status
	w.length = -1
	if n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.length = n
	}
}

// Write implements io.Writer.
func (w *writer) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if !w.mayHaveBody() {
		return len(p), nil
	}
	w.written += int64(len(p))
	if w.length >= 0 && w.written > w.length {
		return 0, http.ErrContentLength
	}
	w.body.write(p)
	n := w.body.length
	switch {
	case n < flushSize:
		return len(p), nil
	case w.sent || w.e.conn.mayStream(w.e):
		return len(p), w.FlushError()
	case w.held.grow(w.e.conn.server.Memory, n):
		return len(p), nil
	case n > maxHeld && w.length < 0:
		return 0, &Error{Op: "answer", Kind: KindTooLong, Err: merry.Errorf("%d bytes, the length is not known", n)}
	}
	return len(p), w.FlushError()
}

// Reset discards what was written of the response, and reports whether another one can be
// written since nothing of it has been sent.
func (w *writer) Reset() bool {
	if w.sent {
		return false
	}
	clear(w.header)
	w.status, w.written, w.body = 0, 0, unsent{}
	w.held.release()
	return true
}

// FlushError sends what is unsent of the response, once the earlier responses
// have been sent.
func (w *writer) FlushError() error {
	w.WriteHeader(http.StatusOK)
	w.hold()
	if err := w.awaitTurn(); err != nil {
		return err
	}
	w.e.conn.beginStream()
	var out bytes.Buffer
	if !w.sent {
		w.chunked = w.length < 0 && w.mayHaveBody() && w.e.request.ProtoAtLeast(1, 1)
		w.appendHead(&out)
	}
	return w.sendBody(&out, false)
}

// SetReadDeadline sets the deadline for reading the request body.
func (w *writer) SetReadDeadline(at time.Time) error { return w.e.conn.net.SetReadDeadline(at) }

// sendContinue sends "100 Continue".
func (w *writer) sendContinue() error {
	if err := w.awaitTurn(); err != nil {
		return err
	}
	return w.send(bytes.NewBufferString("HTTP/1.1 100 Continue\r\n\r\n"))
}

func (w *writer) awaitTurn() error {
	select {
	case <-w.e.turn:
		return nil
	case <-w.e.conn.ctx.Done():
		return &Error{Op: "answer", Kind: KindClosed, Err: w.e.conn.ctx.Err()}
	}
}

// hold counts what is unsent of the body as held until the client reads it.
func (w *writer) hold() { w.held.hold(w.e.conn.server.Memory, w.body.length) }

// finish sends the rest of the response. On error the caller must abort the
// connection, so that the client sees that the response is incomplete.
func (w *writer) finish() error {
	w.WriteHeader(http.StatusOK)
	w.hold()
	if err := w.awaitTurn(); err != nil {
		return err
	}
	var out bytes.Buffer
	if !w.sent {
		if w.length < 0 && w.mayHaveBody() {
			w.header.Set("Content-Length", strconv.FormatInt(w.written, 10))
			w.length = w.written
		}
		w.appendHead(&out)
	}
	if err := w.sendBody(&out, true); err != nil {
		return err
	}
	if w.length >= 0 && w.mayHaveBody() && w.written < w.length {
		return &Error{Op: "answer", Kind: KindLength, Err: merry.Errorf("%d of %d bytes", w.written, w.length)}
	}
	w.e.conn.setUnframed(false)
	return nil
}

// appendHead appends the head of the response to out.
func (w *writer) appendHead(out *bytes.Buffer) {
	w.sent = true
	unframed := w.length < 0 && !w.chunked && w.mayHaveBody()
	w.e.conn.setUnframed(unframed)
	wanted := w.header.Get("Connection") == "close" || !w.e.request.ProtoAtLeast(1, 1) || !w.e.body.done() || unframed
	w.header.Del("Connection")
	if w.e.conn.decideLast(w.e, wanted || w.e.request.Close) {
		w.header.Set("Connection", "close")
	}
	if w.chunked {
		w.header.Set("Transfer-Encoding", "chunked")
	}
	out.WriteString("HTTP/1.1 " + strconv.Itoa(w.status) + " " + http.StatusText(w.status) + "\r\n")
	_ = w.header.Write(out)
	out.WriteString("\r\n")
}

// sendBody sends out, which may hold the head, and the unsent part of the body; last reports
// whether that is the end of the body.
func (w *writer) sendBody(out *bytes.Buffer, last bool) error {
	framed := w.chunked && w.body.length > 0
	if framed {
		out.WriteString(strconv.FormatInt(int64(w.body.length), 16) + "\r\n")
	}
	for _, piece := range w.body.pieces {
		out.Write(piece)
		if out.Len() < flushSize {
			continue
		}
		if err := w.send(out); err != nil {
			return err
		}
	}
	w.body = unsent{}
	if framed {
		out.WriteString("\r\n")
	}
	if w.chunked && last {
		out.WriteString(lastChunk)
	}
	return w.send(out)
}

// send sends out and empties it. It fails once the client has read nothing for as long as a
// connection may be idle.
func (w *writer) send(out *bytes.Buffer) error {
	for out.Len() > 0 {
		w.setWriteDeadline()
		n, err := w.e.conn.net.Write(out.Bytes())
		out.Next(n)
		if err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return &Error{Op: "answer", Kind: KindClosed, Err: err}
		}
	}
	return nil
}

// setWriteDeadline bounds the time for which the client may read nothing.
func (w *writer) setWriteDeadline() {
	var at time.Time
	if d := w.e.conn.server.limits().IdleTimeout; d > 0 {
		at = time.Now().Add(d)
	}
	_ = w.e.conn.net.SetWriteDeadline(at)
}

// mayHaveBody reports whether the response may have a body.
func (w *writer) mayHaveBody() bool {
	return w.e.request.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}
