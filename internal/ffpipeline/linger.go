package ffpipeline

import (
	"errors"
	"io"
	"net"
	"os"
)

// linger ends a connection whose last response has been sent: it closes the write side and
// discards what the client sends until the client closes the connection too. To close it
// earlier would reset it if the client sends more, and the client would lose the responses
// that it has not received. It returns early when the client has received nothing more for as
// long as a connection may be idle.
func (c *conn) linger(watched <-chan struct{}) {
	c.mu.Lock()
	c.closeWrite()
	c.mu.Unlock()
	idle := c.server.limits().IdleTimeout
	left := unreceived(c.net)
	c.setReadDeadline(true, idle)
	<-watched
	for c.discard() {
		now := unreceived(c.net)
		if now == 0 || now >= left {
			c.logUnreceived(now)
			return
		}
		left = now
		c.setReadDeadline(true, idle)
	}
}

// closeWrite ends what is sent to the client. The caller must hold mu.
func (c *conn) closeWrite() {
	c.lingering = true
	if tcp, ok := c.net.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// discard reads until the connection ends or the read deadline passes, and reports whether
// the deadline has passed.
func (c *conn) discard() bool {
	_, err := io.Copy(io.Discard, c.net)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// logUnreceived logs that c is closed before the client has received the last n bytes.
func (c *conn) logUnreceived(n int) {
	if n > 0 {
		c.server.Log.Warn().Str("client", c.net.RemoteAddr().String()).Int("bytes", n).Msg("closing a connection on which responses are not received")
	}
}
