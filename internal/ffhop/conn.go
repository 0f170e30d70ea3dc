package ffhop

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"
)

// readBuffer is the size of a connection's read buffer, in bytes.
const readBuffer = 4096

// Conn is one connection that carries one exchange at a time.
type Conn struct {
	net    net.Conn
	reader *bufio.Reader
	// Fresh tells that no exchange was completed on it yet.
	Fresh   bool
	idle    time.Time
	expires time.Time
}

func newConn(c net.Conn) *Conn {
	return &Conn{net: c, reader: bufio.NewReaderSize(c, readBuffer), Fresh: true}
}

// Close ends the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// quiet reports whether the connection is open and nothing waits on it.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failed == syscall.EAGAIN
	})
	return err == nil && quiet
}

// bind ends reads and writes of c when ctx ends. The caller calls the returned
// function once the exchange is over; it reports whether ctx has not interfered.
func (c *Conn) bind(ctx context.Context) (release func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
}
