package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// received is what an early worker got of one upload.
type received struct {
	bytes int
	want  int
	err   error
	more  string
}

// earlyWorker is a worker that answers an upload before it has read the body, keeps the
// connection and reads on.
type earlyWorker struct {
	id    string
	early bool
	rec   *record
	mu    sync.Mutex
	got   map[string]received
}

func (w *earlyWorker) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.serveConn(c)
	}
}

func (w *earlyWorker) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		id := req.Header.Get("X-Attempt-Id")
		if want := req.Header.Get("X-Target-Instance"); want != "" && want != w.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, w.id)
			continue
		}
		w.rec.logf("worker %s runs %s %s %s, body of %d bytes", w.id, req.Method, req.RequestURI, id, req.ContentLength)
		answer := func() {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, w.id, id, len(id), id)
			w.rec.logf("worker %s answered %s", w.id, id)
		}
		if w.early {
			answer()
			time.Sleep(readOnAfter)
		}
		n, err := io.Copy(io.Discard, req.Body)
		w.mu.Lock()
		w.got[id] = received{bytes: int(n), want: int(req.ContentLength), err: err}
		w.mu.Unlock()
		w.rec.logf("worker %s has read %d of %d bytes of %s: %v", w.id, n, req.ContentLength, id, err)
		if err != nil {
			return
		}
		if !w.early {
			answer()
		}
	}
}

// smallWindows returns a listener whose connections have small windows, as the links of the
// users' platform, so that a peer that does not read blocks the writer.
func smallWindows(address string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
		})
	}}
	return cfg.Listen(context.Background(), "tcp4", address)
}

// Figures of the uploads: within those of the site's sheet.
const (
	uploadBytes    = 300_000
	uploadDeadline = time.Second
	uploads        = 10
	readOnAfter    = 200 * time.Millisecond
)

// early lets workers answer uploads before they have read them.
func early(rec *record) int {
	g, err := newRig(rec, []vmSpec{{"desk", 9}, {"desk", 9}, {"desk", 9}}, nil)
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	defer g.close()
	var workers []*earlyWorker
	for _, v := range g.vms {
		address := v.worker.address()
		_ = v.worker.ln.Close()
		l, err := smallWindows(address)
		if err != nil {
			rec.say("not run: %v", err)
			return exitNotRun
		}
		w := &earlyWorker{id: v.worker.id, early: g.trouble, rec: rec, got: map[string]received{}}
		workers = append(workers, w)
		go w.serve(l)
	}
	g.putConfig(7, []route{{"photo", "upload", "desk", uploadDeadline.Seconds(), 2}})
	if err := g.startAll(); err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	body := strings.Repeat("0123456789", uploadBytes/10)
	type result struct {
		id     string
		status int
		err    error
	}
	var results []result
	for i := range uploads {
		id := attemptID()
		rec.logf("consumer sends upload %s of %d bytes", id, len(body))
		r := result{id: id}
		r.status, r.err = post(g.vms[i%len(g.vms)].callers(), "/photo/a", id, uploadDeadline, body)
		rec.logf("consumer got %d %v for %s", r.status, r.err, id)
		results = append(results, r)
	}
	time.Sleep(2 * time.Second)
	broken, served := 0, 0
	for _, r := range results {
		if r.status == http.StatusOK {
			served++
		}
		for _, w := range workers {
			w.mu.Lock()
			got, ok := w.got[r.id]
			w.mu.Unlock()
			if ok && r.status == http.StatusOK && got.bytes < got.want {
				broken++
				rec.say("%s: the consumer got 200, its worker only %d of %d bytes of the body (%v)", r.id, got.bytes, got.want, got.err)
			}
		}
	}
	rec.say("%d of %d uploads were answered 200; of %d of these the worker did not get the whole body", served, len(results), broken)
	switch {
	case broken > 0:
		return exitBroken
	case served == 0:
		return exitNotRun
	}
	return exitHeld
}

// post sends one request on a new connection, and reads the answer while it sends.
func post(address, path, id string, deadline time.Duration, body string) (status int, err error) {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	go func() { _, _ = io.WriteString(c, requestText(http.MethodPost, path, id, deadline, body)) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
