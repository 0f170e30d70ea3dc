package fftarget

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// failingConn fails the test on any write.
type failingConn struct {
	net.Conn
	t *testing.T
}

func (c failingConn) Write([]byte) (int, error) {
	c.t.Fatal("bytes were written")
	return 0, nil
}

func (failingConn) Close() error { return nil }

func TestNoByteAfterDeadline(t *testing.T) {
	c := &conn{Conn: failingConn{t: t}}
	c.begin(time.Now())
	if _, err := c.Write([]byte("deposit")); !errors.Is(err, errDeadlinePassed) {
		t.Fatal(err)
	}
}

func TestNoByteAfterAbandon(t *testing.T) {
	c := &conn{Conn: failingConn{t: t}}
	c.begin(time.Time{})
	if !c.abandon() {
		t.Fatal("nothing was written")
	}
	if _, err := c.Write([]byte("deposit")); !errors.Is(err, errAbandoned) {
		t.Fatal(err)
	}
}

// brokenPipeConn fails from the second write on.
type brokenPipeConn struct {
	net.Conn
	writes int
}

func (c *brokenPipeConn) Write(p []byte) (int, error) {
	c.writes++
	if c.writes > 1 {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(p)
}

// TestDeadIdleConnection makes a second call over a connection that was closed
// while idle. The retry over a new connection must succeed.
func TestDeadIdleConnection(t *testing.T) {
	for _, body := range []string{"", "coins"} {
		var runs atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
		client := NewClient(Settings{Address: server.Listener.Addr().String()})
		client.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			var d net.Dialer
			c, err := d.DialContext(ctx, network, address)
			return &conn{Conn: &brokenPipeConn{Conn: c}}, err
		}
		for range 2 {
			call := &ffcall.Call{Method: http.MethodPost, Path: "/deposits", Body: []byte(body)}
			if _, err := client.Do(t.Context(), call); err != nil {
				t.Error(err)
			}
		}
		client.Close()
		server.Close()
		if runs.Load() != 2 {
			t.Errorf("%d runs of 2 calls with body %q", runs.Load(), body)
		}
	}
}
