package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// worker is a stand-in of a worker. It registers itself in the store, and serves one request
// at a time on each connection.
type worker struct {
	machine *machine
	id      string
	born    int64
	// handle runs one request, whose body it reads itself, and reports whether the
	// connection stays open.
	handle func(w *worker, c net.Conn, r *http.Request) bool

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	state    string
	seq      int
	gone     chan struct{}
	once     sync.Once
}

// startWorker starts a worker on m that says that it was born at a Unix time in milliseconds.
func (m *machine) startWorker(id string, born int64, handle func(*worker, net.Conn, *http.Request) bool) (*worker, error) {
	l, err := m.listen()
	if err != nil {
		return nil, err
	}
	w := &worker{machine: m, id: id, born: born, handle: handle, listener: l, conns: make(map[net.Conn]bool), state: "ready", gone: make(chan struct{})}
	m.mu.Lock()
	m.worker = w
	m.mu.Unlock()
	w.beat()
	go w.serve()
	go w.runBeats()
	return w, nil
}

// listen opens the worker's port. With a window of its own, all its connections have that.
func (m *machine) listen() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if m.window == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, m.window)
		})
	}}
	return config.Listen(context.Background(), "tcp4", m.appAddress())
}

// beat writes the worker's entry to the store.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	w.machine.fleet.store.PutEntry(ffEntry(w))
}

func (w *worker) runBeats() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.gone:
			return
		case <-ticker.C:
			w.beat()
		}
	}
}

// drain reports that the worker is draining. The store has accepted that when it returns.
func (w *worker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.beat()
}

func (w *worker) draining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == "draining"
}

// stop ends the worker: its port and all connections are closed.
func (w *worker) stop() {
	w.once.Do(func() {
		close(w.gone)
		_ = w.listener.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		for c := range w.conns {
			_ = c.Close()
		}
	})
}

func (w *worker) serve() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.serveConn(c)
	}
}

func (w *worker) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		switch {
		case r.URL.Path == "/health":
			status := 200
			if w.draining() {
				status = 503
			}
			fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Instance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), w.id, w.notices())
		case r.Header.Get("X-Target-Instance") != "" && r.Header.Get("X-Target-Instance") != w.id:
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Attempt-Id"), w.id)
		default:
			if !w.handle(w, c, r) {
				return
			}
		}
	}
}

// notices returns what the worker says of itself in each answer.
func (w *worker) notices() string {
	if w.draining() {
		return "Server-Leaving: 1\r\n"
	}
	return ""
}

// head returns the head of a successful answer with a body of n bytes.
func (w *worker) head(r *http.Request, n int) string {
	id := r.Header.Get("X-Attempt-Id")
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s.%s\r\n%sContent-Length: %d\r\n\r\n", id, w.id, id, w.notices(), n)
}
