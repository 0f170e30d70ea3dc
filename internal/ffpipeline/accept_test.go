package ffpipeline_test

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffpipeline"
)

// shortListener has no descriptors left while short is set.
type shortListener struct {
	net.Listener
	short, failed atomic.Bool
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.short.Load() {
		l.failed.Store(true)
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestNoDescriptorsLeft guards against a server that ends, and its process with all other
// requests, when a connection cannot be accepted. Idle connections are given up for new ones,
// and those that clients keep open behind their last response.
func TestNoDescriptorsLeft(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &shortListener{Listener: inner}
	h := &handler{}
	s := &ffpipeline.Server{Handler: h}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	kept := dial(t, inner.Addr().String())
	h.closing.Store(true)
	send(t, kept, get("/"))
	receive(t, bufio.NewReader(kept))
	h.closing.Store(false)
	idle := dial(t, inner.Addr().String())
	send(t, idle, get("/"))
	idleReader := bufio.NewReader(idle)
	receive(t, idleReader)
	l.short.Store(true)
	// The server waits in the inner listener, and fails after this connection.
	busy := dial(t, inner.Addr().String())
	send(t, busy, get("/slow/1"))
	waitFor(t, l.failed.Load)
	if status, _, _ := receive(t, bufio.NewReader(busy)); status != http.StatusOK {
		t.Errorf("request in progress: status %d", status)
	}
	if _, err := idleReader.ReadByte(); err == nil {
		t.Error("an idle connection stays open")
	}
	waitFor(t, func() bool {
		_, err := kept.Write([]byte(get("/")))
		return err != nil
	})
	l.short.Store(false)
	next := dial(t, inner.Addr().String())
	send(t, next, get("/"))
	if status, _, _ := receive(t, bufio.NewReader(next)); status != http.StatusOK {
		t.Errorf("next connection: status %d", status)
	}
	_ = inner.Close()
	select {
	case err := <-done:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("the server ended with %v", err)
		}
	case <-time.After(time.Second):
		t.Error("the server has not ended")
	}
	s.Close()
}
