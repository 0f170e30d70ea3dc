package ffrelay_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/internal/ffrelay"
)

// silenceWait is how long tests wait for bytes that must not arrive.
const silenceWait = 50 * time.Millisecond

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testingT is the common interface of testing.T and rapid.T.
type testingT interface {
	Cleanup(f func())
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Helper()
}

// startRelay returns a relay in front of an echo server.
func startRelay(t testingT) *ffrelay.Relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var goroutines sync.WaitGroup
	goroutines.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			goroutines.Go(func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			})
		}
	})
	t.Cleanup(goroutines.Wait)
	t.Cleanup(func() { _ = listener.Close() })
	r, err := ffrelay.New("127.0.0.1:0", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func setFault(t testingT, r *ffrelay.Relay, f ffrelay.Fault) {
	t.Helper()
	if err := r.SetFault(f); err != nil {
		t.Fatal(err)
	}
}

func dial(t testingT, r *ffrelay.Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t testingT, c net.Conn, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func expect(t testingT, c net.Conn, text string) {
	t.Helper()
	got := make([]byte, len(text))
	if n, err := io.ReadFull(c, got); err != nil || string(got) != text {
		t.Fatalf("got %q, want %q, error %v", got[:n], text, err)
	}
}

func expectSilence(t testingT, c net.Conn) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(silenceWait)); err != nil {
		t.Fatal(err)
	}
	n, err := c.Read(make([]byte, 1))
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("got %d bytes and error %v, want no bytes until the read deadline", n, err)
	}
	_ = c.SetReadDeadline(time.Time{})
}

func TestStreamIsForwardedUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := startRelay(t)
		c := dial(t, r)
		var sent bytes.Buffer
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			setFault(t, r, ffrelay.Fault{
				Kind:      rapid.SampledFrom([]ffrelay.FaultKind{ffrelay.FaultNone, ffrelay.FaultDelay, ffrelay.FaultHold}).Draw(t, "fault"),
				Direction: rapid.SampledFrom([]ffrelay.Direction{ffrelay.DirectionBoth, ffrelay.DirectionUpstream, ffrelay.DirectionDownstream}).Draw(t, "direction"),
				Delay:     time.Millisecond,
			})
			part := rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "part")
			sent.Write(part)
			send(t, c, string(part))
		}
		setFault(t, r, ffrelay.Fault{})
		_ = c.(*net.TCPConn).CloseWrite()
		got, err := io.ReadAll(c)
		if err != nil || !bytes.Equal(got, sent.Bytes()) {
			t.Fatalf("got %x, sent %x, error %v", got, sent.Bytes(), err)
		}
	})
}

func TestCutResetsAndRefuses(t *testing.T) {
	r := startRelay(t)
	c := dial(t, r)
	send(t, c, "one")
	expect(t, c, "one")
	for range 2 {
		setFault(t, r, ffrelay.Fault{Kind: ffrelay.FaultCut})
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
			t.Fatalf("open connection ends with %v", err)
		}
		if refused, err := net.Dial("tcp", r.Address()); err == nil {
			_ = refused.Close()
			t.Fatal("new connection accepted")
		}
		setFault(t, r, ffrelay.Fault{})
		c = dial(t, r)
		send(t, c, "two")
		expect(t, c, "two")
	}
}

func TestSilentOpenSparesNewConnections(t *testing.T) {
	r := startRelay(t)
	old := dial(t, r)
	send(t, old, "one")
	expect(t, old, "one")
	setFault(t, r, ffrelay.Fault{Kind: ffrelay.FaultSilentOpen})
	fresh := dial(t, r)
	send(t, fresh, "two")
	expect(t, fresh, "two")
	send(t, old, "three")
	expectSilence(t, old)
	setFault(t, r, ffrelay.Fault{})
	expectSilence(t, old)
}

func TestConnectionStaysSilentAfterLoss(t *testing.T) {
	for _, direction := range []ffrelay.Direction{ffrelay.DirectionBoth, ffrelay.DirectionUpstream, ffrelay.DirectionDownstream} {
		t.Run(direction.String(), func(t *testing.T) {
			r := startRelay(t)
			old, idle := dial(t, r), dial(t, r)
			setFault(t, r, ffrelay.Fault{Kind: ffrelay.FaultSilent, Direction: direction})
			send(t, old, "lost")
			expectSilence(t, old)
			setFault(t, r, ffrelay.Fault{})
			send(t, old, "late")
			expectSilence(t, old)
			send(t, idle, "new")
			expect(t, idle, "new")
		})
	}
}

func TestHeldBytesArriveLater(t *testing.T) {
	r := startRelay(t)
	c := dial(t, r)
	setFault(t, r, ffrelay.Fault{Kind: ffrelay.FaultHold, Direction: ffrelay.DirectionDownstream})
	send(t, c, "late")
	expectSilence(t, c)
	setFault(t, r, ffrelay.Fault{})
	expect(t, c, "late")
}

func TestTruncateAndCorruptInTheMiddle(t *testing.T) {
	r := startRelay(t)
	c := dial(t, r)
	setFault(t, r, ffrelay.Fault{Kind: ffrelay.FaultCorrupt, Direction: ffrelay.DirectionDownstream, AfterBytes: 2})
	send(t, c, "aaaa")
	expect(t, c, "aa`a")
	setFault(t, r, ffrelay.Fault{Kind: ffrelay.FaultTruncate, Direction: ffrelay.DirectionDownstream, AfterBytes: 3})
	send(t, c, "aaaa")
	if got, err := io.ReadAll(c); string(got) != "aaa" {
		t.Fatalf("got %q, error %v", got, err)
	}
}
