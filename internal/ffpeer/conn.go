package ffpeer

import (
	"net"
	"sync"
	"time"
)

// writeTimeout bounds one write to a peer that does not read.
const writeTimeout = 10 * time.Second

// conn counts the bytes of a connection, bounds each write, and releases its slot on
// close.
type conn struct {
	net.Conn
	meter *Meter
	slots chan struct{}
	once  sync.Once
}

func newConn(c net.Conn, meter *Meter, slots chan struct{}) *conn {
	meter.opened.Add(1)
	return &conn{Conn: c, meter: meter, slots: slots}
}

// Read reads into b and counts the bytes.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write sends b within the write timeout and counts the bytes.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.meter.out.Add(int64(n))
	return n, err
}

// Close closes the connection and releases its slot.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.meter.closed.Add(1)
		<-c.slots
	})
	return err
}
