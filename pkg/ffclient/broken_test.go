package ffclient_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

// serveRaw starts a server that sends answer on each connection and resets it after pause. It
// returns the server's address.
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
			_, _ = io.WriteString(c, answer)
			<-time.After(pause)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestBrokenAnswer guards against an answer with an invalid head, which callers take for one.
func TestBrokenAnswer(t *testing.T) {
	const attempts, uploadBytes = 20, 16 << 20
	for name, answer := range map[string]string{
		"status 000":      "HTTP/1.1 000 OK\r\nFireflyfall-Outcome: ran\r\nContent-Length: 1\r\n\r\na",
		"blank in a name": "HTTP/1.1 200 OK\r\nFireflyfall-Outcome: ran\r\nTransfer-Encoding : chunked\r\nContent-Length: 1\r\n\r\na",
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
