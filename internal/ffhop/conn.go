package ffhop

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4096
	// maxHeadBytes is the maximum size of the head of an answer, in bytes, together with
	// the interim answers before it.
	maxHeadBytes = 64 << 10
)

// Conn is a client connection that carries one HTTP exchange at a time.
type Conn struct {
	net net.Conn
	// address is the one that was connected to.
	address string
	head    *headReader
	reader  *bufio.Reader
	// Unused reports that no exchange has been completed on the connection.
	Unused    bool
	idleSince time.Time
	expires   time.Time
}

func newConn(c net.Conn, address string) *Conn {
	head := &headReader{r: c}
	return &Conn{net: c, address: address, head: head, reader: bufio.NewReaderSize(head, readBufferSize), Unused: true}
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// discardUnsent makes Close reset the connection, which discards data that is still being
// sent.
func (c *Conn) discardUnsent() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// reusable reports whether the connection is open and has no unread data.
func (c *Conn) reusable() bool {
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
	reusable := false
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = peekErr == syscall.EAGAIN
	})
	return err == nil && reusable
}

// interruptOnDone interrupts reads and writes of c when ctx ends. The caller must call
// release after the exchange; it reports false if c was interrupted.
func (c *Conn) interruptOnDone(ctx context.Context) (release func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
}
