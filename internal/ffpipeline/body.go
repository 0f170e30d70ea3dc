package ffpipeline

import (
	"io"
	"net/http"
	"strings"
	"sync"
)

// body is a request body. It reports when it has been read completely, and sends
// "100 Continue" before the first read if the client expects that.
type body struct {
	io.ReadCloser
	e *exchange
	// awaitsContinue reports that the client still waits for "100 Continue".
	awaitsContinue bool
	once           sync.Once
	readAll        chan struct{}
}

func newBody(e *exchange, r *http.Request) *body {
	b := &body{ReadCloser: r.Body, e: e, readAll: make(chan struct{})}
	b.awaitsContinue = strings.EqualFold(r.Header.Get("Expect"), expectContinue)
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.ReadCloser = http.NoBody
		b.once.Do(func() { close(b.readAll) })
	}
	return b
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.awaitsContinue {
		b.awaitsContinue = false
		if err := b.e.writer.sendContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.once.Do(func() { close(b.readAll) })
	}
	return n, err
}

// done reports whether the body has been read completely.
func (b *body) done() bool {
	select {
	case <-b.readAll:
		return true
	default:
		return false
	}
}
