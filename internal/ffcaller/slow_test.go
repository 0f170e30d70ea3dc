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
	validRequest      = "POST /deposits HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 4\r\n\r\ncoin"
	otherValidRequest = "POST /deposits HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer " + otherKey + "\r\nContent-Length: 4\r\n\r\ncoin"
	partialBody       = "PUT /hauls HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer " + key + "\r\nFireflyfall-Timeout-Millis: 30\r\nContent-Length: 8\r\n\r\ncoin"
)

func wantRefusal(t *testing.T, r *http.Response, status int, outcome ffcall.Outcome) {
	t.Helper()
	if r.StatusCode != status || r.Header.Get("Fireflyfall-Outcome") != outcome.String() {
		t.Fatalf("status %d, outcome %q, want %d, %s", r.StatusCode, r.Header.Get("Fireflyfall-Outcome"), status, outcome)
	}
}

// TestSlowBodyEndsAtTheDeadline checks that a caller that never completes its body
// is refused at the deadline, and that nothing runs.
func TestSlowBodyEndsAtTheDeadline(t *testing.T) {
	gate := &fakeGate{}
	c := dial(t, start(t, gate))
	c.send(t, partialBody)
	r := c.answer(t)
	wantRefusal(t, r, http.StatusBadRequest, ffcall.OutcomeNotRun)
	if len(gate.takeCalls()) > 0 || !r.Close {
		t.Fatal("a call with a partial body ran or the connection stays open")
	}
}

// TestTruncatedBodyDoesNotRun checks that nothing runs when a caller closes its
// side of the connection in the middle of the body.
func TestTruncatedBodyDoesNotRun(t *testing.T) {
	gate := &fakeGate{}
	c := dial(t, start(t, gate))
	c.send(t, "PUT /hauls HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer "+key+"\r\nContent-Length: 8\r\n\r\ncoin")
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	wantRefusal(t, c.answer(t), http.StatusBadRequest, ffcall.OutcomeNotRun)
	if len(gate.takeCalls()) > 0 {
		t.Fatal("a call with a partial body ran")
	}
}

// TestRefusalDoesNotWaitForTheBody checks that a caller that never sends its body
// still receives a refusal.
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

// afterDeadline refuses each call 10 ms after its deadline, like a gate whose queue
// is stalled. It returns KindCancelled if the call is cancelled before.
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

// TestReadDeadlineDoesNotCancelTheCall checks that the read deadline of the body
// does not cancel the call when it expires before the gate has reported the outcome.
func TestReadDeadlineDoesNotCancelTheCall(t *testing.T) {
	c := dial(t, start(t, &fakeGate{do: afterDeadline}))
	c.send(t, "POST /deposits HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer "+key+"\r\nFireflyfall-Timeout-Millis: 50\r\nContent-Length: 4\r\n\r\ncoin")
	wantRefusal(t, c.answer(t), http.StatusGatewayTimeout, ffcall.OutcomeNotRun)
}

// TestInvalidStatus checks that an answer is rejected when its status cannot be
// sent to the caller.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []int{-1, 0, 7, 101, 1000} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			c := dial(t, start(t, &fakeGate{do: func(context.Context, *ffcall.Call) (*ffcall.Reply, error) {
				return &ffcall.Reply{Status: status, Body: []byte("x")}, nil
			}}))
			c.send(t, validRequest)
			wantRefusal(t, c.answer(t), http.StatusBadGateway, ffcall.OutcomeRan)
		})
	}
}

// TestConnectionsPerCustomerAreLimited checks that a customer gets no more
// connections than its contract allows, and that other customers are not affected.
func TestConnectionsPerCustomerAreLimited(t *testing.T) {
	address := start(t, &fakeGate{})
	var open []*rawConn
	for range maxConnections {
		c := dial(t, address)
		c.send(t, validRequest)
		wantRefusal(t, c.answer(t), http.StatusOK, ffcall.OutcomeRan)
		open = append(open, c)
	}
	c := dial(t, address)
	c.send(t, validRequest)
	r := c.answer(t)
	wantRefusal(t, r, http.StatusTooManyRequests, ffcall.OutcomeNotRun)
	if !r.Close {
		t.Fatal("a connection above the limit stays open")
	}
	other := dial(t, address)
	other.send(t, otherValidRequest)
	wantRefusal(t, other.answer(t), http.StatusOK, ffcall.OutcomeRan)
	_ = open[0].Close()
	awaitOK(t, address)
}

// awaitOK opens connections of the customer until a request on one succeeds.
func awaitOK(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); {
		c := dial(t, address)
		c.send(t, validRequest)
		status := c.answer(t).StatusCode
		_ = c.Close()
		if status == http.StatusOK {
			return
		}
	}
	t.Fatal("a closed connection still counts towards the limit")
}

// TestSilentConnectionsAreClosed checks that a flood of connections without a
// request closes the oldest of them, and none of a customer or of another address.
func TestSilentConnectionsAreClosed(t *testing.T) {
	const flood = 700
	address := start(t, &fakeGate{})
	own := dial(t, address)
	own.send(t, validRequest)
	wantRefusal(t, own.answer(t), http.StatusOK, ffcall.OutcomeRan)
	slow := dialFrom(t, "127.0.0.1", address)
	idle := make([]*rawConn, flood)
	for i := range idle {
		idle[i] = dialFrom(t, "127.0.0.2", address)
	}
	if _, err := idle[0].reader.ReadByte(); err != io.EOF {
		t.Fatalf("the oldest of %d silent connections: %v, want it closed", flood, err)
	}
	own.send(t, validRequest)
	wantRefusal(t, own.answer(t), http.StatusOK, ffcall.OutcomeRan)
	slow.send(t, otherValidRequest)
	wantRefusal(t, slow.answer(t), http.StatusOK, ffcall.OutcomeRan)
}
