package ffport_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"fireflyfall.dev/fireflyfall/internal/ffport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	clients     = 16
	rounds      = 8
	dialTimeout = 300 * time.Millisecond
	// warmUp is how long clients send requests before the listener starts to close.
	warmUp = 50 * time.Millisecond
)

// TestFinishLosesNoRequest checks that every client that could send a request while
// the listener closes gets a response.
func TestFinishLosesNoRequest(t *testing.T) {
	for range rounds {
		var failed, answered atomic.Int64
		p, err := ffport.Listen(t.Context(), "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := p.Addr().String()
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { echoAll(p, &wg) })
		for range clients {
			wg.Go(func() { sendRequests(ctx, address, &failed, &answered) })
		}
		time.Sleep(warmUp)
		if err := p.Shutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
		stop()
		wg.Wait()
		if failed.Load() > 0 || answered.Load() == 0 {
			t.Fatalf("%d requests failed, %d answered; want none failed and some answered", failed.Load(), answered.Load())
		}
	}
}

// TestFinishRefuses checks that a closed listener refuses connections.
func TestFinishRefuses(t *testing.T) {
	p, err := ffport.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	if c, err := net.DialTimeout("tcp", p.Addr().String(), dialTimeout); err == nil {
		_ = c.Close()
		t.Fatal("a closed listener accepted a connection")
	}
}

// TestFinishEndsWithContext checks that the listener is closed when the context
// ends although its queued connection is never accepted.
func TestFinishEndsWithContext(t *testing.T) {
	p, err := ffport.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", p.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), dialTimeout)
	defer cancel()
	if err := p.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	if ctx.Err() == nil {
		t.Fatal("the listener closed while a connection was queued")
	}
}

// echoAll echoes one byte on each connection.
func echoAll(l net.Listener, wg *sync.WaitGroup) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		wg.Go(func() {
			defer func() { _ = c.Close() }()
			var b [1]byte
			if _, err := io.ReadFull(c, b[:]); err == nil {
				_, _ = c.Write(b[:])
			}
		})
	}
}

// sendRequests sends one byte on new connections until ctx ends, and counts requests
// with and without a response.
func sendRequests(ctx context.Context, address string, failed, answered *atomic.Int64) {
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			continue
		}
		var b [1]byte
		if _, err = c.Write(b[:]); err == nil {
			_, err = io.ReadFull(c, b[:])
		}
		if err != nil {
			failed.Add(1)
		} else {
			answered.Add(1)
		}
		_ = c.Close()
	}
}
