package ffinbound_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffhop"
	"fireflyfall.dev/fireflyfall/internal/ffinbound"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// rejectingDialect takes every answer for a rejection, or for one to another attempt.
type rejectingDialect struct {
	dialect
	verdict ffmesh.Verdict
}

func (d rejectingDialect) Classify(*ffmesh.Call, int, http.Header) ffmesh.Verdict { return d.verdict }

// TestEndlessBody checks that a body without end, sent fast or byte by byte behind a
// rejection or a foreign answer, neither delays the outcome nor changes it.
func TestEndlessBody(t *testing.T) {
	for name, tc := range map[string]struct {
		more    string
		pause   time.Duration
		verdict ffmesh.Verdict
		want    ffmesh.Outcome
	}{
		"rejection":                   {strings.Repeat("a", 64<<10), 0, ffmesh.VerdictNotRun, ffmesh.OutcomeNotRun},
		"rejection, byte by byte":     {"a", 20 * time.Millisecond, ffmesh.VerdictNotRun, ffmesh.OutcomeNotRun},
		"other attempt":               {strings.Repeat("a", 64<<10), 0, ffmesh.VerdictOtherAttempt, ffmesh.OutcomeUnknown},
		"other attempt, byte by byte": {"a", 20 * time.Millisecond, ffmesh.VerdictOtherAttempt, ffmesh.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveEndlessBody(t, tc.more, tc.pause)
			g := &ffinbound.Gate{
				Target:  staticTarget{fffleet.Target{ID: "t", Service: "s", Address: netip.MustParseAddrPort(address), Slots: 1}},
				Dialect: rejectingDialect{verdict: tc.verdict},
				Pool:    &ffhop.Pool{Address: address, Dialer: ffhop.NewDialer(time.Second), MaxIdle: 8},
			}
			started := time.Now()
			r := g.Do(context.Background(), newCall("x", 0, 2*time.Second, 3*time.Second))
			if r.Outcome != tc.want {
				t.Errorf("outcome %v, want %v", r.Outcome, tc.want)
			}
			if elapsed := time.Since(started); elapsed > time.Second {
				t.Errorf("the outcome was known after %v", elapsed)
			}
		})
	}
}

// serveEndlessBody answers each request with a body without length or end, and returns
// its address.
func serveEndlessBody(t *testing.T, more string, pause time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\n\r\n"))
		for err == nil {
			<-time.After(pause)
			_, err = c.Write([]byte(more))
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}
