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
	callers     = 16
	rounds      = 8
	dialTimeout = 300 * time.Millisecond
	// warmUp is how long callers call before the port begins to close.
	warmUp = 50 * time.Millisecond
)

// TestFinishCutsNothing lets callers connect in a loop while a port finishes:
// whoever could send a request gets its answer.
func TestFinishCutsNothing(t *testing.T) {
	for range rounds {
		var cut, answered atomic.Int64
		p, err := ffport.Listen(t.Context(), "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := p.Addr().String()
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { answerAll(p, &wg) })
		for range callers {
			wg.Go(func() { callUntil(ctx, address, &cut, &answered) })
		}
		time.Sleep(warmUp)
		if err := p.Finish(t.Context()); err != nil {
			t.Fatal(err)
		}
		stop()
		wg.Wait()
		if cut.Load() > 0 || answered.Load() == 0 {
			t.Fatalf("%d requests cut, %d answered; want none cut and some answered", cut.Load(), answered.Load())
		}
	}
}

// TestFinishRefuses wants a finished port to refuse connections.
func TestFinishRefuses(t *testing.T) {
	p, err := ffport.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Finish(t.Context()); err != nil {
		t.Fatal(err)
	}
	if c, err := net.DialTimeout("tcp", p.Addr().String(), dialTimeout); err == nil {
		_ = c.Close()
		t.Fatal("a finished port took a connection")
	}
}

// TestFinishEndsWithContext wants a port closed whose queue nobody empties.
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
	if err := p.Finish(ctx); err != nil {
		t.Fatal(err)
	}
	if ctx.Err() == nil {
		t.Fatal("the port closed while a connection waited")
	}
}

// answerAll answers one byte on each connection.
func answerAll(l net.Listener, wg *sync.WaitGroup) {
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

// callUntil sends one byte on new connections until ctx ends, and counts the
// requests that were sent and got no answer.
func callUntil(ctx context.Context, address string, cut, answered *atomic.Int64) {
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
			cut.Add(1)
		} else {
			answered.Add(1)
		}
		_ = c.Close()
	}
}
