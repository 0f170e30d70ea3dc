package ffpipeline_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffpipeline"
)

// halves sends a long response in two halves and breaks it off after the first under /part.
type halves struct{}

func (halves) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	half := bytes.Repeat([]byte("l"), longBody/2)
	_, _ = w.Write(half)
	if r.URL.Path == "/part" {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(half)
}

// TestResponseThatEndsWithConnection guards against a part of a response that a client of
// HTTP/1.0, which learns the end of a body from that of the connection, takes for all of it. A
// whole response ends regularly, also for a client that reads it late.
func TestResponseThatEndsWithConnection(t *testing.T) {
	address := serve(t, &ffpipeline.Server{Handler: halves{}})
	for _, tc := range []struct {
		path  string
		whole bool
	}{{"/whole", true}, {"/part", false}} {
		for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			fmt.Fprintf(c, "GET %s HTTP/1.0\r\n\r\n", tc.path)
			<-time.After(pause)
			body, err := readOld(c)
			if whole := err == nil; whole != tc.whole || whole && len(body) != longBody {
				t.Errorf("%s read after %v: %d bytes, error %v", tc.path, pause, len(body), err)
			}
		}
	}
}

// readOld reads a response with status 200 to the end of the connection.
func readOld(c net.Conn) ([]byte, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(resp.Body)
}
