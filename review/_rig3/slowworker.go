package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// slowWorker reads a part of an upload, then nothing for a while, and then the rest.
type slowWorker struct {
	id    string
	rec   *record
	pause time.Duration
	mu    sync.Mutex
	got   map[string]received
}

func (w *slowWorker) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.serveConn(c)
	}
}

func (w *slowWorker) serveConn(c net.Conn) {
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
		w.rec.logf("worker %s begins %s %s %s, body of %d bytes", w.id, req.Method, req.RequestURI, id, req.ContentLength)
		first, err := io.CopyN(io.Discard, req.Body, 64<<10)
		if err == nil {
			time.Sleep(w.pause)
			w.rec.logf("worker %s reads on %s", w.id, id)
		}
		rest, err := io.Copy(io.Discard, req.Body)
		w.mu.Lock()
		w.got[id] = received{bytes: int(first + rest), want: int(req.ContentLength), err: err}
		w.mu.Unlock()
		w.rec.logf("worker %s has read %d of %d bytes of %s: %v", w.id, first+rest, req.ContentLength, id, err)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, w.id, id, len(id), id)
		w.rec.logf("worker %s answered %s", w.id, id)
	}
}

// Figures of the uploads to slow workers.
const (
	slowUploads        = 9
	slowUploadDeadline = 3 * time.Second
	slowPause          = 1200 * time.Millisecond
)

// slowRead stops a daemon while workers read uploads slowly.
func slowRead(rec *record) int {
	g, err := newRig(rec, []vmSpec{{"desk", 9}, {"desk", 9}, {"desk", 9}}, nil)
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	defer g.close()
	for _, v := range g.vms {
		address := v.worker.address()
		_ = v.worker.ln.Close()
		l, err := smallWindows(address)
		if err != nil {
			rec.say("not run: %v", err)
			return exitNotRun
		}
		w := &slowWorker{id: v.worker.id, rec: rec, got: map[string]received{}}
		if g.trouble {
			w.pause = slowPause
		}
		go w.serve(l)
	}
	g.putConfig(7, []route{{"photo", "upload", "desk", slowUploadDeadline.Seconds(), 2}})
	if err := g.startAll(); err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	body := strings.Repeat("0123456789", uploadBytes/10)
	var mu sync.Mutex
	counts := map[int]int{}
	var wg sync.WaitGroup
	for range slowUploads {
		wg.Go(func() {
			id := attemptID()
			rec.logf("consumer sends upload %s of %d bytes", id, len(body))
			status, err := post(g.vms[0].callers(), "/photo/a", id, slowUploadDeadline, body)
			rec.logf("consumer got %d %v for %s", status, err, id)
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
	}
	// The planned stop comes with and without the trouble.
	time.Sleep(100 * time.Millisecond)
	g.vms[0].signal(syscall.SIGTERM)
	wg.Wait()
	rec.say("answers by status, 0 for none: %v", counts)
	if counts[http.StatusOK] < slowUploads {
		rec.say("uploads at which their workers were at work were broken off after the SIGTERM: %d", slowUploads-counts[http.StatusOK])
		return exitBroken
	}
	return exitHeld
}
