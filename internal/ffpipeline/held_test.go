package ffpipeline_test

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffpipeline"
)

// longBody is the length of a long response, in bytes.
const longBody = 300_000

// longHandler answers requests under /long/ with a body that is longer than what is sent
// at once, and all others as handler does.
type longHandler struct {
	handler
	// written counts the long responses that were written to their end, and begun all.
	begun, written atomic.Int64
	// proceed, if set, is awaited in the middle of a long response.
	proceed chan struct{}
}

func (h *longHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/long/") {
		h.handler.ServeHTTP(w, r)
		return
	}
	h.begun.Add(1)
	for range 2 {
		if _, err := w.Write(bytes.Repeat([]byte("l"), longBody/2)); err != nil {
			panic(http.ErrAbortHandler)
		}
		if h.proceed != nil {
			<-h.proceed
		}
	}
	h.written.Add(1)
}

// countedMemory limits a number of bytes and counts what is reserved.
type countedMemory struct{ limit, reserved atomic.Int64 }

func (m *countedMemory) Reserve(n int64) (release func(), ok bool) {
	if m.reserved.Add(n) > m.limit.Load() {
		m.reserved.Add(-n)
		return nil, false
	}
	return func() { m.reserved.Add(-n) }, true
}

func aheadAll(*http.Request) bool { return true }

func (m *countedMemory) Hold(n int64) (release func()) {
	m.reserved.Add(n)
	return func() { m.reserved.Add(-n) }
}

// TestLongResponseWaitsInMemory checks that a long response behind a slow one is taken from
// its handler at once if there is memory for it, and later if there is none, and that the
// memory is released.
func TestLongResponseWaitsInMemory(t *testing.T) {
	for limit, held := range map[int64]bool{4 << 20: true, 100 << 10: false} {
		h, memory := &longHandler{}, &countedMemory{}
		memory.limit.Store(limit)
		c := dial(t, serve(t, &ffpipeline.Server{Handler: h, MayRunAhead: aheadAll, Memory: memory}))
		send(t, c, get("/slow/1")+get("/long/2")+get("/slow/3"))
		waitFor(t, func() bool { return h.begun.Load() == 1 })
		<-time.After(work / 2)
		if got := h.written.Load() == 1; got != held {
			t.Errorf("limit %d: written while it waits: %v", limit, got)
		}
		r := bufio.NewReader(c)
		for n, length := range []int{len(`GET /slow/1 ""`), longBody, len(`GET /slow/3 ""`)} {
			if status, body, _ := receive(t, r); status != http.StatusOK || len(body) != length {
				t.Errorf("limit %d: response %d is %d with %d bytes", limit, n, status, len(body))
			}
		}
		waitFor(t, func() bool { return memory.reserved.Load() == 0 })
	}
}

// TestNoneStartsBehindStream guards against a request that is run behind a response of
// which a part was sent: it would be lost with the connection if that response broke off.
func TestNoneStartsBehindStream(t *testing.T) {
	h := &longHandler{proceed: make(chan struct{})}
	c := dial(t, serve(t, &ffpipeline.Server{Handler: h, MayRunAhead: aheadAll, Memory: &countedMemory{}}))
	r := bufio.NewReader(c)
	send(t, c, get("/long/1"))
	if _, err := r.Peek(1); err != nil {
		t.Fatal(err)
	}
	send(t, c, get("/slow/2"))
	<-time.After(work / 2)
	if n := h.running.Load(); n != 0 {
		t.Errorf("%d requests run behind the stream", n)
	}
	close(h.proceed)
	for n, length := range []int{longBody, len(`GET /slow/2 ""`)} {
		if status, body, _ := receive(t, r); status != http.StatusOK || len(body) != length {
			t.Errorf("response %d is %d with %d bytes", n, status, len(body))
		}
	}
}

// TestHeldResponseOutgrowsMemory guards against a long response that is given up for its
// length although its turn has come and nothing behind it can be lost.
func TestHeldResponseOutgrowsMemory(t *testing.T) {
	const part, parts = 96 << 10, 60
	memory := &countedMemory{}
	memory.limit.Store(16 << 20)
	inTurn := make(chan struct{})
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-inTurn
			return
		}
		for n := range parts {
			if n == (4<<20)/part {
				// The next part crosses what may be held.
				close(inTurn)
				<-time.After(work)
			}
			if _, err := w.Write(make([]byte, part)); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
	})
	c := dial(t, serve(t, &ffpipeline.Server{Handler: h, MayRunAhead: aheadAll, Memory: memory}))
	send(t, c, get("/first")+get("/second"))
	r := bufio.NewReader(c)
	for n, length := range []int{0, part * parts} {
		if status, body, _ := receive(t, r); status != http.StatusOK || len(body) != length {
			t.Errorf("response %d is %d with %d bytes", n, status, len(body))
		}
	}
}
