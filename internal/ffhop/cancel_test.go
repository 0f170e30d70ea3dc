package ffhop

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// connect returns a connection and its other end.
func connect(t *testing.T) (conn *Conn, peer net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	pool := &Pool{Address: l.Addr().String(), Dialer: NewDialer(time.Second), MaxIdle: 1}
	conn, err = pool.Get(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	peer, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	return conn, peer
}

// TestCancelledRequestDelivered guards against a request that a slow peer still reads in
// whole after its client has left.
func TestCancelledRequestDelivered(t *testing.T) {
	conn, peer := connect(t)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	e, err := conn.Start(ctx, &Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 16<<20)})
	if err == nil {
		_, err = e.Receive()
	}
	if err == nil {
		t.Fatal("the exchange did not end")
	}
	if n, err := io.Copy(io.Discard, peer); err == nil {
		t.Errorf("the peer read %d bytes and a regular end", n)
	}
}
