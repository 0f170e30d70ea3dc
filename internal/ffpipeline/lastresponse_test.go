package ffpipeline_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffpipeline"
)

// smallWindow is the size of the receive buffer of a client that lets most of a response wait
// at the server, in bytes.
const smallWindow = 4 << 10

// dialSlow connects with a receive buffer of smallWindow.
func dialSlow(t *testing.T, address string) net.Conn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow)
		})
	}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// receiveLong reads n responses with longBody bytes each and then the end of the connection.
func receiveLong(t *testing.T, r io.Reader, n int) {
	t.Helper()
	reader := bufio.NewReader(r)
	for range n {
		if _, body, _ := receive(t, reader); len(body) != longBody {
			t.Fatalf("a response has %d bytes", len(body))
		}
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("behind the last response: %v", err)
	}
}

// TestLastResponseReadLate guards against responses that are lost as their connection is
// closed before a slow client, which may still send requests, has received them (review/13).
func TestLastResponseReadLate(t *testing.T) {
	// late is longer than a server should assume that a client needs.
	const late, sent = 1500 * time.Millisecond, 3
	var begun atomic.Int64
	allBegun := make(chan struct{})
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The first response is the last one if no later request has begun.
		if begun.Add(1) == sent {
			close(allBegun)
		}
		<-allBegun
		w.Header().Set("Connection", "close")
		_, _ = w.Write(bytes.Repeat([]byte("l"), longBody))
	})
	memory := &countedMemory{}
	memory.limit.Store(16 << 20)
	limits := func() ffpipeline.Limits { return ffpipeline.Limits{IdleTimeout: 10 * late} }
	s := &ffpipeline.Server{Handler: h, MayRunAhead: aheadAll, Memory: memory, Limits: limits}
	c := dialSlow(t, serve(t, s))
	send(t, c, strings.Repeat(get("/long"), sent))
	for range 2 {
		<-time.After(late / 2)
		s.CloseIdle()
		send(t, c, get("/next"))
	}
	receiveLong(t, c, sent)
}

// TestIdleResponseReadLate guards against a response that is lost as its connection is closed
// as an idle one before a slow client, which sends its next request meanwhile, has received it.
func TestIdleResponseReadLate(t *testing.T) {
	h := &longHandler{}
	s := &ffpipeline.Server{Handler: h, MayRunAhead: aheadAll}
	c := dialSlow(t, serve(t, s))
	send(t, c, get("/long/1"))
	waitFor(t, func() bool { return h.written.Load() == 1 })
	<-time.After(work / 2)
	s.CloseIdle()
	for range 2 {
		<-time.After(work / 2)
		send(t, c, get("/long/2"))
	}
	receiveLong(t, c, 1)
	if n := h.begun.Load(); n != 1 {
		t.Errorf("%d requests were run", n)
	}
}

// TestIdleTimeWhileReading guards against a response that is lost as its connection has had no
// request for the idle time, while a slow client still receives it.
func TestIdleTimeWhileReading(t *testing.T) {
	const idle, part = 300 * time.Millisecond, longBody / 40
	h := &longHandler{}
	limits := func() ffpipeline.Limits { return ffpipeline.Limits{IdleTimeout: idle} }
	c := dialSlow(t, serve(t, &ffpipeline.Server{Handler: h, MayRunAhead: aheadAll, Limits: limits}))
	send(t, c, get("/long/1"))
	behind := time.AfterFunc(3*idle, func() { _, _ = io.WriteString(c, get("/long/2")) })
	defer behind.Stop()
	receiveLong(t, &pausingReader{r: c, part: part, pause: idle / 8}, 1)
}

// pausingReader reads parts from r and pauses before each.
type pausingReader struct {
	r     io.Reader
	part  int
	pause time.Duration
}

func (r *pausingReader) Read(p []byte) (int, error) {
	<-time.After(r.pause)
	return r.r.Read(p[:min(len(p), r.part)])
}

// TestBrokenResponseBehindUnreceived guards against a response that is lost as the next one
// breaks off, and the connection is closed before a slow client has received the first.
func TestBrokenResponseBehindUnreceived(t *testing.T) {
	h := &longHandler{}
	c := dialSlow(t, serve(t, &ffpipeline.Server{Handler: h}))
	send(t, c, get("/long/1")+get("/short"))
	waitFor(t, func() bool { return h.written.Load() == 1 })
	for range 2 {
		<-time.After(work / 2)
		send(t, c, get("/next"))
	}
	r := bufio.NewReader(c)
	if _, body, _ := receive(t, r); len(body) != longBody {
		t.Errorf("the first response has %d bytes", len(body))
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(resp.Body); err != io.ErrUnexpectedEOF {
		t.Errorf("the second response ends with %v", err)
	}
}
