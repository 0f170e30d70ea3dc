package ffoutbound

import (
	"context"
	"io"
)

// cancelling ends a call's context once its answer was read or given up.
type cancelling struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelling) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}
