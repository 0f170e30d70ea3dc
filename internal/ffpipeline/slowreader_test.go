package ffpipeline_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffpipeline"
)

// TestShortResponsesCount guards against memory that nobody counts: many short responses that
// cannot be sent yet.
func TestShortResponsesCount(t *testing.T) {
	const requests, length = 10, 20_000
	memory := &countedMemory{}
	memory.limit.Store(1 << 20)
	inTurn := make(chan struct{})
	var written atomic.Int64
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-inTurn
			return
		}
		_, _ = w.Write(make([]byte, length))
		written.Add(1)
	})
	c := dial(t, serve(t, &ffpipeline.Server{Handler: h, MayRunAhead: aheadAll, Memory: memory}))
	send(t, c, get("/first")+strings.Repeat(get("/next"), requests))
	waitFor(t, func() bool { return written.Load() == requests })
	waitFor(t, func() bool { return memory.reserved.Load() >= requests*length })
	close(inTurn)
	r := bufio.NewReader(c)
	for range requests + 1 {
		receive(t, r)
	}
	waitFor(t, func() bool { return memory.reserved.Load() == 0 })
}

// TestClientReadsNothing guards against a client that keeps a response in memory for good by
// not reading it; one that reads slowly gets all of it.
func TestClientReadsNothing(t *testing.T) {
	const length, idle = 32 << 20, 400 * time.Millisecond
	for name, reads := range map[string]bool{"nothing": false, "slowly": true} {
		t.Run(name, func(t *testing.T) {
			memory, ended := &countedMemory{}, make(chan struct{})
			memory.limit.Store(1 << 20)
			h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				defer close(ended)
				w.Header().Set("Content-Length", "33554432")
				_, _ = io.Copy(w, bytes.NewReader(make([]byte, length)))
			})
			limits := func() ffpipeline.Limits { return ffpipeline.Limits{IdleTimeout: idle} }
			c := dial(t, serve(t, &ffpipeline.Server{Handler: h, MayRunAhead: aheadAll, Memory: memory, Limits: limits}))
			send(t, c, get("/long"))
			if reads {
				r := bufio.NewReader(c)
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatal(err)
				}
				total := int64(0)
				for n := int64(1); n > 0; total += n {
					<-time.After(idle / 10)
					n, _ = io.CopyN(io.Discard, resp.Body, 2<<20)
				}
				if total != length {
					t.Errorf("%d of %d bytes", total, length)
				}
			}
			select {
			case <-ended:
			case <-time.After(10 * idle):
				t.Error("the response is still held")
			}
			waitFor(t, func() bool { return memory.reserved.Load() == 0 })
		})
	}
}

// TestContinueAfterIdleTime guards against a connection that ends because its last response was
// sent longer ago than it may be idle, though the client has sent a request since.
func TestContinueAfterIdleTime(t *testing.T) {
	const idle = 400 * time.Millisecond
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			<-time.After(idle)
		}
		_, _ = io.Copy(w, r.Body)
	})
	limits := func() ffpipeline.Limits { return ffpipeline.Limits{IdleTimeout: idle} }
	c := dial(t, serve(t, &ffpipeline.Server{Handler: h, Limits: limits}))
	r := bufio.NewReader(c)
	send(t, c, get("/first"))
	receive(t, r)
	<-time.After(idle / 4)
	send(t, c, "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	if line, err := r.ReadString('\n'); err != nil || !strings.Contains(line, "100 Continue") {
		t.Fatalf("%q, %v", line, err)
	}
}
