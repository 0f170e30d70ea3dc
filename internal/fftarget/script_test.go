package fftarget_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Behaviours of a scripted target, selected by the call's Script header.
const (
	behaviourAnswer   = "answer"   // complete response, connection kept open
	behaviourChunked  = "chunked"  // complete chunked response
	behaviourDrop     = "drop"     // complete response, then the connection is closed without a Connection header
	behaviourNone     = "none"     // request read, connection closed without a response
	behaviourCut      = "cut"      // half of the response body
	behaviourUnmarked = "unmarked" // response without a length or chunked encoding
	behaviourShed     = "shed"     // response that reports the call as not run
	behaviourZero     = "zero"     // complete response with status 000
	behaviourBlank    = "blank"    // complete response with a blank behind the name of a header
	behaviourSilent   = "silent"   // no response until the client closes the connection
)

// scriptedTarget reads requests from raw connections and responds with the
// behaviour that their Script header selects.
type scriptedTarget struct {
	listener net.Listener
	loops    sync.WaitGroup

	mu       sync.Mutex
	received map[string]int
	open     int
	maxOpen  int
}

func startScripted(t cleaner) *scriptedTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &scriptedTarget{listener: listener, received: make(map[string]int)}
	s.loops.Go(s.loop)
	t.Cleanup(s.stop)
	return s
}

// stop closes the listener and waits until every connection has ended.
func (s *scriptedTarget) stop() {
	_ = s.listener.Close()
	s.loops.Wait()
}

func (s *scriptedTarget) loop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.count(1)
		s.loops.Go(func() { s.serve(c) })
	}
}

func (s *scriptedTarget) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += change
	s.maxOpen = max(s.maxOpen, s.open)
}

func (s *scriptedTarget) serve(c net.Conn) {
	defer s.count(-1)
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !s.respond(c, in, r, body) {
			return
		}
	}
}

// times returns how often the target received a call.
func (s *scriptedTarget) times(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[id]
}

// respond plays the behaviour of r and reports whether the connection stays open.
func (s *scriptedTarget) respond(c net.Conn, in io.Reader, r *http.Request, body []byte) bool {
	id := r.Header.Get("Fireflyfall-Call-Id")
	s.mu.Lock()
	s.received[id]++
	s.mu.Unlock()
	content := id + ":" + string(body)
	switch r.Header.Get("Script") {
	case behaviourAnswer:
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
		return err == nil
	case behaviourChunked:
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(content), content)
		return err == nil
	case behaviourDrop:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
	case behaviourCut:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content[:len(content)/2])
	case behaviourUnmarked:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", content)
	case behaviourShed:
		_, err := fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nFireflyfall-Outcome: notRun\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case behaviourZero:
		_, err := fmt.Fprintf(c, "HTTP/1.1 000 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
		return err == nil
	case behaviourBlank:
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
		return err == nil
	case behaviourSilent:
		_, _ = io.Copy(io.Discard, in)
	}
	return false
}
