package ffhop

import (
	"context"
	"errors"
	"io"
	"sync"
)

var errClosed = errors.New("response body closed before EOF")

// trackedBody is a response body that reports once how reading it ended.
type trackedBody struct {
	body  io.Reader
	once  sync.Once
	onEnd func(err error)
}

// NewTrackedBody wraps the body of a response to an exchange whose context is ctx. onEnd is
// called once: with io.EOF after the last byte, or with the error that stopped reading. A
// body that nobody reads or closes ends with ctx.
func NewTrackedBody(ctx context.Context, body io.Reader, onEnd func(err error)) io.ReadCloser {
	r := &trackedBody{body: body, onEnd: onEnd}
	context.AfterFunc(ctx, func() { r.end(ctx.Err()) })
	return r
}

func (r *trackedBody) end(err error) { r.once.Do(func() { r.onEnd(err) }) }

// Read implements io.Reader.
func (r *trackedBody) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil {
		r.end(err)
	}
	return n, err
}

// Close implements io.Closer.
func (r *trackedBody) Close() error {
	r.end(errClosed)
	return nil
}
