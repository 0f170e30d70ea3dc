package ffclient_test

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

// serveRaw starts a server that sends answer on each connection once it has read the head of a
// request, and resets the connection after pause. It returns the server's address.
func serveRaw(t *testing.T, answer string, pause time.Duration) string {
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
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer)
			}
			<-time.After(pause)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestBrokenAnswer guards against an answer with an invalid head, and against the part of one
// without a length that was reset during the request, which callers take for answers.
func TestBrokenAnswer(t *testing.T) {
	const attempts, uploadBytes = 20, 16 << 20
	for name, answer := range map[string]string{
		"status 000":      "HTTP/1.1 000 OK\r\nFireflyfall-Outcome: ran\r\nContent-Length: 1\r\n\r\na",
		"blank in a name": "HTTP/1.1 200 OK\r\nFireflyfall-Outcome: ran\r\nTransfer-Encoding : chunked\r\nContent-Length: 1\r\n\r\na",
		"no length":       "HTTP/1.1 200 OK\r\nFireflyfall-Outcome: ran\r\n\r\npart",
	} {
		for i := range attempts {
			c := &ffclient.Client{Addresses: []string{serveRaw(t, answer, time.Duration(i+1)*200*time.Microsecond)}}
			got, err := c.Do(t.Context(), ffclient.Request{Method: http.MethodPost, Path: "/x", Body: []byte(strings.Repeat("b", uploadBytes))})
			var failed *ffclient.Error
			if !errors.As(err, &failed) || failed.Outcome != ffclient.OutcomeUnknown {
				t.Errorf("%s: got %+v, error %v", name, got, err)
			}
		}
	}
}

// TestCompressedAnswer checks that a compressed answer counts, of which net/http gives no
// length, and a part of one does not.
func TestCompressedAnswer(t *testing.T) {
	var compressed bytes.Buffer
	z := gzip.NewWriter(&compressed)
	_, _ = z.Write([]byte("whole"))
	_ = z.Close()
	for _, cut := range []int{0, 1} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = w.Write(compressed.Bytes()[:compressed.Len()-cut])
		}))
		defer server.Close()
		c := &ffclient.Client{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}}
		got, err := c.Do(t.Context(), ffclient.Request{Method: http.MethodGet, Path: "/x"})
		if whole := err == nil; whole != (cut == 0) || whole && string(got.Body) != "whole" {
			t.Errorf("without the last %d bytes: got %+v, error %v", cut, got, err)
		}
	}
}
