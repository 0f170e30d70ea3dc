package ffhop

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// serveEndless accepts connections and answers each request with begin, and then with
// repeated copies of more until the connection is closed.
func serveEndless(t *testing.T, begin, more string) *Pool {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := c.Write([]byte(begin))
				for err == nil {
					_, err = c.Write([]byte(more))
				}
			}()
		}
	}()
	return &Pool{Address: l.Addr().String(), Dialer: NewDialer(time.Second), MaxIdle: 1}
}

// TestEndlessHead checks that bytes without end in place of an answer's head end the
// exchange at once, with bounded memory and an outcome that is not "unsent".
func TestEndlessHead(t *testing.T) {
	for name, tc := range map[string]struct{ begin, more string }{
		"one line":         {"HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("a", 64<<10)},
		"status line":      {"HTTP/1.1 200 ", strings.Repeat("a", 64<<10)},
		"many fields":      {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: b\r\n", 8<<10)},
		"interim answers":  {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1<<10)},
		"no answer at all": {"\x00", strings.Repeat("\x00", 64<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			pool := serveEndless(t, tc.begin, tc.more)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			conn, err := pool.Get(ctx, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			e, err := conn.Start(ctx, &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
			if err == nil {
				_, err = e.Receive()
			}
			runtime.ReadMemStats(&after)
			failed, ok := err.(*Error)
			if !ok || failed.Kind != KindBroken {
				t.Fatalf("the exchange ended with %v", err)
			}
			if elapsed := time.Since(started); elapsed > time.Second {
				t.Errorf("the exchange ended after %v", elapsed)
			}
			if grown := after.TotalAlloc - before.TotalAlloc; grown > 16<<20 {
				t.Errorf("%d bytes were allocated", grown)
			}
		})
	}
}
