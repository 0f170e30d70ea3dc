package ffpipeline

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unreceived returns how many of the bytes sent on n the client's system has not acknowledged;
// the end of the connection counts as one byte. It is 0 if the system does not report it.
func unreceived(n net.Conn) int {
	socket, ok := n.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	bytes := 0
	err = raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = queued
		}
	})
	if err != nil {
		return 0
	}
	return bytes
}

// undelivered reports whether a request on c is unanswered or a response not received.
func (c *conn) undelivered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unanswered) > 0 || unreceived(c.net) > 0
}
