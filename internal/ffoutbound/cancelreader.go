package ffoutbound

import (
	"context"
	"io"
)

// cancelReader cancels the context of a call when its response body is closed.
type cancelReader struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (r *cancelReader) Close() error {
	defer r.cancel()
	return r.ReadCloser.Close()
}
