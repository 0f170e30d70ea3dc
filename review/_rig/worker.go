package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

const (
	slots = 6
	// queued is the number of requests that wait for a slot.
	queued = 24
	// heartbeat is the interval of the reports to the store.
	heartbeat = 1500 * time.Millisecond
	// keepAliveS is how long idle connections are kept, in seconds.
	keepAliveS = 10
)

// run is a request that a worker ran.
type run struct {
	id, method, uri, origin, instance, digest string
	length                                    int
	at                                        time.Time
}

// worker is a stand-in of an application worker. It reads a whole request, then waits for a
// slot, runs it and answers.
type worker struct {
	id, service, zone, address string
	store                      *ffstandin.Store
	rec                        *record
	// work is how long a request takes, answer the body of its answer.
	work   func(r *http.Request) time.Duration
	answer func(r *http.Request) []byte

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	waiting  int
	slotFree *sync.Cond
	runs     []run
	born     int64
	seq      int
	up       bool
	stop     context.CancelFunc
}

// start starts the worker, and the reports of its life to the store.
func (w *worker) start() error {
	l, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	w.listener, w.stop, w.up = l, cancel, true
	w.conns = make(map[net.Conn]bool)
	w.slotFree = sync.NewCond(&w.mu)
	w.running, w.waiting, w.seq = 0, 0, 0
	w.born = time.Now().UnixMilli()
	w.mu.Unlock()
	go w.accept(l)
	go w.report(ctx)
	return nil
}

// crash ends the worker without a word: its port is closed and its connections end. The
// store removes its entry after three intervals without a report.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	w.stop()
	_ = w.listener.Close()
	for c := range w.conns {
		_ = c.Close()
	}
	w.mu.Unlock()
	w.rec.note("worker %s crashes", w.id)
	go func() {
		<-time.After(3 * heartbeat)
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.up {
			w.store.DeleteEntry(w.id)
			w.rec.note("the store removes the entry of worker %s", w.id)
		}
	}()
}

func (w *worker) report(ctx context.Context) {
	for {
		w.mu.Lock()
		if !w.up {
			w.mu.Unlock()
			return
		}
		w.seq++
		w.store.PutEntry(ffstandin.TargetEntry{
			ID: w.id, Service: w.service, Address: w.address, DataCentre: w.zone,
			State: "ready", Slots: slots, Born: w.born, Sequence: w.seq,
		})
		w.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(keepAliveS * time.Second))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return // The request is not whole: it isn't run.
		}
		if !w.handle(c, req, body) {
			return
		}
	}
}

// handle runs one request that was read whole, and reports whether the connection stays.
func (w *worker) handle(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Attempt-Id")
	head := fmt.Sprintf("X-Attempt-Id: %s\r\nKeep-Alive: timeout=%d\r\n", id, keepAliveS)
	switch {
	case req.Header.Get("X-Target-Instance") != "" && req.Header.Get("X-Target-Instance") != w.id:
		return write(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"X-Instance-Id: "+w.id+"\r\nContent-Length: 0\r\n\r\n", nil)
	case id == "":
		return write(c, "HTTP/1.1 400 Bad Request\r\n"+head+"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", nil)
	case !w.takeSlot():
		return write(c, "HTTP/1.1 503 Service Unavailable\r\n"+head+"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", nil)
	}
	sum := sha256.Sum256(body)
	w.mu.Lock()
	w.runs = append(w.runs, run{
		id: id, method: req.Method, uri: req.RequestURI, origin: req.Header.Get("X-Caller-Service"),
		instance: w.id, digest: hex.EncodeToString(sum[:8]), length: len(body), at: time.Now(),
	})
	w.mu.Unlock()
	w.rec.note("worker %s runs %s %s %s for %s, %d bytes, digest %s", w.id, id, req.Method, req.RequestURI, req.Header.Get("X-Caller-Service"), len(body), hex.EncodeToString(sum[:8]))
	<-time.After(w.work(req))
	w.freeSlot()
	answer := []byte("done " + id)
	if w.answer != nil {
		answer = w.answer(req)
	}
	return write(c, "HTTP/1.1 200 OK\r\n"+head+"X-Response-Signature: "+w.id+"."+id+"\r\nContent-Length: "+strconv.Itoa(len(answer))+"\r\n\r\n", answer)
}

func write(c net.Conn, head string, body []byte) bool {
	_, err := c.Write(append([]byte(head), body...))
	return err == nil
}

// takeSlot waits for a slot, and reports false if too many wait.
func (w *worker) takeSlot() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= slots && w.waiting >= queued {
		return false
	}
	w.waiting++
	for w.running >= slots {
		w.slotFree.Wait()
	}
	w.waiting--
	w.running++
	return true
}

func (w *worker) freeSlot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	w.slotFree.Signal()
}

// ran returns the runs so far.
func (w *worker) ran() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

// busy returns the number of requests that the worker has, running or waiting.
func (w *worker) busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running + w.waiting
}
