package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// oldWorker is a sound worker that spoils one in spoilEvery of its answers: it sends them in
// chunks with the version of HTTP/1.0, which has no chunks.
type oldWorker struct {
	id     string
	spoils bool
	rec    *record
	mu     sync.Mutex
	sent   int
	spoilt map[string]bool
}

// spoilEvery is one over the dose of garble, x = 0.02.
const spoilEvery = 50

func (w *oldWorker) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.serveConn(c)
	}
}

// spoil reports whether the next answer is spoilt.
func (w *oldWorker) spoil(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
	if !w.spoils || w.sent%spoilEvery != 0 {
		return false
	}
	w.spoilt[id] = true
	return true
}

// wholeBody is the body of the answer to an attempt.
func wholeBody(id string) string { return strings.Repeat(id+"\n", 88) }

func (w *oldWorker) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
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
		w.rec.logf("worker %s runs %s %s %s", w.id, req.Method, req.RequestURI, id)
		time.Sleep(5 * time.Millisecond)
		body := wholeBody(id)
		head := fmt.Sprintf(" 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s.%s\r\n", id, w.id, id)
		if w.spoil(id) {
			w.rec.logf("worker %s answers %s with HTTP/1.0 and in chunks", w.id, id)
			fmt.Fprintf(c, "HTTP/1.0%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1"+head+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	}
}

// oldChunks lets one of three workers spoil two in a hundred of its answers.
func oldChunks(rec *record) int {
	const consumers, requests = 12, 80
	g, err := newRig(rec, []vmSpec{{"desk", 9}, {"desk", 9}, {"desk", 9}}, nil)
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	defer g.close()
	for i, v := range g.vms {
		address := v.worker.address()
		_ = v.worker.ln.Close()
		l, err := net.Listen("tcp4", address)
		if err != nil {
			rec.say("not run: %v", err)
			return exitNotRun
		}
		w := &oldWorker{id: v.worker.id, spoils: g.trouble && i == 0, rec: rec, spoilt: map[string]bool{}}
		go w.serve(l)
	}
	g.putConfig(7, []route{{"list", "safe", "desk", 0.8, 2}, {"book", "unsafe", "desk", 1, 2}})
	if err := g.startAll(); err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	var mu sync.Mutex
	counts := map[int]int{}
	broken := 0
	var wg sync.WaitGroup
	for k := range consumers {
		wg.Go(func() {
			for n := range requests {
				id := attemptID()
				text := requestText(http.MethodGet, "/list/a", id, 800*time.Millisecond, "")
				if n%4 == 0 {
					text = requestText(http.MethodPost, "/book/a", id, time.Second, "seat=1")
				}
				status, signature, body, err := exchange(g.vms[k%len(g.vms)].callers(), text)
				rec.logf("consumer %d sent %s, got %d, %d bytes, %v", k, id, status, len(body), err)
				mu.Lock()
				counts[status]++
				if err == nil && status == http.StatusOK && (body != wholeBody(id) || signature == "") {
					broken++
					rec.say("%s: 200 with the signature %q and %d bytes that begin with %q; the worker's body has %d", id, signature, len(body), body[:min(8, len(body))], len(wholeBody(id)))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	rec.say("answers by status, 0 for none: %v; %d of those with 200 had another body than the worker's", counts, broken)
	switch {
	case broken > 0:
		return exitBroken
	case counts[http.StatusOK] == 0:
		return exitNotRun
	}
	return exitHeld
}

// exchange sends one request on a new connection and reads the answer.
func exchange(address, text string) (status int, signature, body string, err error) {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		return 0, "", "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		return 0, "", "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", "", err
	}
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("X-Response-Signature"), string(b), err
}
