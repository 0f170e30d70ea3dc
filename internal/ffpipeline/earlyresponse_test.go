package ffpipeline_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffpipeline"
)

// TestEarlyResponseReset guards against a client that loses the response to an upload, as the
// connection is reset while it still sends the body: it reads the response after that.
func TestEarlyResponseReset(t *testing.T) {
	const length = 8 << 20
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	c := dial(t, serve(t, &ffpipeline.Server{Handler: h, MayRunAhead: aheadAll}))
	send(t, c, fmt.Sprintf("POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length))
	<-time.After(20 * time.Millisecond)
	if n, err := c.Write(make([]byte, length)); err != nil {
		t.Errorf("sent %d bytes, %v", n, err)
	}
	if status, _, _ := receive(t, bufio.NewReader(c)); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}
