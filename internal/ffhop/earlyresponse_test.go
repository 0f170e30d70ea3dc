package ffhop

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffbody"
)

// partialResponse is the beginning of a response without a length.
const partialResponse = "HTTP/1.1 200 OK\r\n\r\npart"

// settleTime is the time after which a peer's close of the connection has arrived.
const settleTime = 100 * time.Millisecond

// startEarlyPeer starts a server that reads the head of one request, sends a response and
// then ends the connection with end.
func startEarlyPeer(t *testing.T, response string, end func(*net.TCPConn)) *Pool {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		<-time.After(settleTime)
		end(c.(*net.TCPConn))
	}()
	return &Pool{Address: l.Addr().String(), Dialer: NewDialer(time.Second), MaxIdle: 1}
}

// endings are the ways in which an early peer ends the connection, and whether its response
// is complete then.
func endings() map[string]struct {
	end      func(*net.TCPConn)
	complete bool
} {
	reset := func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	return map[string]struct {
		end      func(*net.TCPConn)
		complete bool
	}{
		"reset": {reset, false},
		"end":   {func(c *net.TCPConn) { _ = c.CloseWrite() }, true},
		"end and then a reset": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			<-time.After(settleTime)
			reset(c)
		}, true},
	}
}

// TestEarlyResponse checks that a response without a length, during whose request's body the
// connection ends, counts as complete only after a regular end. It is read at once, or after
// the sending of the body has met what ended the connection.
func TestEarlyResponse(t *testing.T) {
	t.Parallel()
	const length = 64 << 20
	for name, tc := range endings() {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s late=%v", name, late), func(t *testing.T) {
				t.Parallel()
				conn, err := startEarlyPeer(t, partialResponse, tc.end).Get(t.Context(), time.Second)
				if err != nil {
					t.Fatal(err)
				}
				e, err := conn.Start(t.Context(), &Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, length)})
				if err != nil {
					t.Fatal(err)
				}
				defer e.Abort()
				resp, err := e.Receive()
				if err != nil {
					t.Fatal(err)
				}
				if late {
					<-time.After(3 * settleTime)
				}
				body, err := io.ReadAll(resp.Body)
				if complete := err == nil; complete != tc.complete || complete && string(body) != "part" {
					t.Errorf("got %q, %v", body, err)
				}
			})
		}
	}
}

// TestEarlyResponseLost guards against the loss of a complete response that came while the
// request's body was sent, as the sending then met the end of the connection.
func TestEarlyResponseLost(t *testing.T) {
	t.Parallel()
	const length = 64 << 20
	for name, tc := range endings() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := startEarlyPeer(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", tc.end).Get(t.Context(), time.Second)
			if err != nil {
				t.Fatal(err)
			}
			body := ffbody.NewStream(bytes.NewReader(make([]byte, length)))
			e, err := conn.Start(t.Context(), &Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Stream: body, Length: length})
			if err != nil {
				t.Fatal(err)
			}
			defer e.Abort()
			<-time.After(3 * settleTime)
			resp, err := e.Receive()
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "part" {
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
}
