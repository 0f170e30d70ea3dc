package ffcaller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

const (
	good     = "POST /deposits HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 4\r\n\r\ncoin"
	goodToo  = "POST /deposits HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer " + otherKey + "\r\nContent-Length: 4\r\n\r\ncoin"
	halfBody = "PUT /hauls HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer " + key + "\r\nFireflyfall-Timeout-Millis: 30\r\nContent-Length: 8\r\n\r\ncoin"
)

func wantRefusal(t *testing.T, r *http.Response, status int, outcome ffcall.Outcome) {
	t.Helper()
	if r.StatusCode != status || r.Header.Get("Fireflyfall-Outcome") != outcome.String() {
		t.Fatalf("status %d, outcome %q, want %d, %s", r.StatusCode, r.Header.Get("Fireflyfall-Outcome"), status, outcome)
	}
}

// TestSlowBodyEndsAtTheDeadline: a caller that never ends its body gets its
// refusal at the deadline, and nothing runs.
func TestSlowBodyEndsAtTheDeadline(t *testing.T) {
	gate := &fakeGate{}
	c := dial(t, start(t, gate))
	c.send(t, halfBody)
	r := c.answer(t)
	wantRefusal(t, r, http.StatusBadRequest, ffcall.OutcomeNotRun)
	if len(gate.take()) > 0 || !r.Close {
		t.Fatal("half a body ran or the connection stays open")
	}
}

// TestTruncatedBodyDoesNotRun: a caller that leaves in the middle of its body.
func TestTruncatedBodyDoesNotRun(t *testing.T) {
	gate := &fakeGate{}
	c := dial(t, start(t, gate))
	c.send(t, "PUT /hauls HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer "+key+"\r\nContent-Length: 8\r\n\r\ncoin")
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	wantRefusal(t, c.answer(t), http.StatusBadRequest, ffcall.OutcomeNotRun)
	if len(gate.take()) > 0 {
		t.Fatal("half a body ran")
	}
}

// TestRefusalDoesNotWaitForTheBody: a refused caller that never sends its body
// still gets the refusal.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	address := start(t, &fakeGate{})
	for name, head := range map[string]string{
		"key":    "POST /deposits HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer no\r\nContent-Length: 8\r\n\r\n",
		"route":  "POST /other HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 8\r\n\r\n",
		"retry":  "POST /deposits HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer " + key + "\r\nFireflyfall-Retry: true\r\nContent-Length: 8\r\n\r\n",
		"tokens": "POST /v1/tokens HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 8\r\n\r\n{",
		"method": "PUT /v1/tokens HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 8\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, address)
			c.send(t, head)
			if r := c.answer(t); r.Header.Get("Fireflyfall-Outcome") == "" {
				t.Fatalf("status %d without an outcome", r.StatusCode)
			}
			_ = c.Close()
		})
	}
}

// afterDeadline refuses each call a little after its deadline, as a gate does
// whose queue did not move; a caller that left gets nothing.
func afterDeadline(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error) {
	timer := time.NewTimer(time.Until(c.Deadline.Add(10 * time.Millisecond)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, &ffcall.Error{Op: "fake", Kind: ffcall.KindCancelled, Err: ctx.Err()}
	case <-timer.C:
		return nil, ffcall.Refuse("fake", ffcall.KindDeadline, merry.New("late"))
	}
}

// TestReadDeadlineEndsWithTheBody: the bound on reading the body must not
// cancel the call when its deadline comes, before the gate has said what became of it.
func TestReadDeadlineEndsWithTheBody(t *testing.T) {
	c := dial(t, start(t, &fakeGate{do: afterDeadline}))
	c.send(t, "POST /deposits HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer "+key+"\r\nFireflyfall-Timeout-Millis: 50\r\nContent-Length: 4\r\n\r\ncoin")
	wantRefusal(t, c.answer(t), http.StatusGatewayTimeout, ffcall.OutcomeNotRun)
}

// TestStrangeStatus: a status that HTTP cannot carry to the caller is no answer.
func TestStrangeStatus(t *testing.T) {
	for _, status := range []int{-1, 0, 7, 101, 1000} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			c := dial(t, start(t, &fakeGate{do: func(context.Context, *ffcall.Call) (*ffcall.Reply, error) {
				return &ffcall.Reply{Status: status, Body: []byte("x")}, nil
			}}))
			c.send(t, good)
			wantRefusal(t, c.answer(t), http.StatusBadGateway, ffcall.OutcomeRan)
		})
	}
}

// TestConnectionsOfOneCustomer: a customer gets no more connections than its
// contract allows, and another still gets its own.
func TestConnectionsOfOneCustomer(t *testing.T) {
	address := start(t, &fakeGate{})
	var open []*caller
	for range maxConnections {
		c := dial(t, address)
		c.send(t, good)
		wantRefusal(t, c.answer(t), http.StatusOK, ffcall.OutcomeRan)
		open = append(open, c)
	}
	c := dial(t, address)
	c.send(t, good)
	r := c.answer(t)
	wantRefusal(t, r, http.StatusTooManyRequests, ffcall.OutcomeNotRun)
	if !r.Close {
		t.Fatal("a connection above the bound stays open")
	}
	other := dial(t, address)
	other.send(t, goodToo)
	wantRefusal(t, other.answer(t), http.StatusOK, ffcall.OutcomeRan)
	_ = open[0].Close()
	awaitOK(t, address)
}

// awaitOK waits until a new connection of the customer is served.
func awaitOK(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(generous); time.Now().Before(deadline); {
		c := dial(t, address)
		c.send(t, good)
		status := c.answer(t).StatusCode
		_ = c.Close()
		if status == http.StatusOK {
			return
		}
	}
	t.Fatal("a closed connection still counts")
}

// TestConnectionsWithoutRequest: connections that never send a request make room
// for new ones, the oldest first; those of customers and of other addresses stay.
func TestConnectionsWithoutRequest(t *testing.T) {
	const flood = 700
	address := start(t, &fakeGate{})
	own := dial(t, address)
	own.send(t, good)
	wantRefusal(t, own.answer(t), http.StatusOK, ffcall.OutcomeRan)
	slow := dialFrom(t, "127.0.0.1", address)
	silent := make([]*caller, flood)
	for i := range silent {
		silent[i] = dialFrom(t, "127.0.0.2", address)
	}
	if _, err := silent[0].reader.ReadByte(); err != io.EOF {
		t.Fatalf("the oldest of %d silent connections: %v, want it closed", flood, err)
	}
	own.send(t, good)
	wantRefusal(t, own.answer(t), http.StatusOK, ffcall.OutcomeRan)
	slow.send(t, goodToo)
	wantRefusal(t, slow.answer(t), http.StatusOK, ffcall.OutcomeRan)
}
