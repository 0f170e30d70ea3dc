package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refusedlater"] = refusedLater }

const (
	// photoBytes is the length of a long upload, and busyCalls the number of calls that take
	// all slots of both workers for busyWork; one or two of them wait.
	photoBytes = 1_700_000
	busyCalls  = 14
	busyWork   = 600 * time.Millisecond
)

// refusedLater: a long upload comes while all slots of its service are in use for a moment.
// The workers answer a long upload before they have read its body, as they may.
func refusedLater(f *fleet, trouble bool) (int, error) {
	if err := f.addMachines("wallet", "ledger", "ledger"); err != nil {
		return noRun, err
	}
	f.putConfig(7, route{name: "deposit", kind: "unsafe", service: "ledger", timeoutS: 3}, route{name: "photo", kind: "upload", service: "ledger", timeoutS: 3})
	var mu sync.Mutex
	var runs []string
	handle := func(w *worker, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Attempt-Id")
		f.record.add("%-9s begins to work on %s, a body of %d bytes", w.id, id, r.ContentLength)
		if r.ContentLength >= photoBytes {
			mu.Lock()
			runs = append(runs, w.id)
			mu.Unlock()
			_, err := io.WriteString(c, w.head(r, 2)+"ok")
			f.record.add("%-9s has run %s and answered 200 before it reads the body: %v", w.id, id, err == nil)
			n, err := io.Copy(io.Discard, r.Body)
			f.record.add("%-9s has read %d bytes of the body of %s: %v", w.id, n, id, err)
			return err == nil
		}
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(busyWork)
		_, err := io.WriteString(c, w.head(r, 2)+"ok")
		f.record.add("%-9s has answered %s: %v", w.id, id, err == nil)
		return err == nil
	}
	for i, m := range f.machines {
		if _, err := m.startWorker(fmt.Sprintf("i-%d", i+1), time.Now().UnixMilli(), handle); err != nil {
			return noRun, err
		}
	}
	if err := f.start(); err != nil {
		return noRun, err
	}
	time.Sleep(stableWindow + time.Second)
	entry := f.machines[0]
	var busy sync.WaitGroup
	if trouble {
		for i := range busyCalls {
			busy.Go(func() {
				f.record.add("consumer  b%d is answered with %s", i, post(f, entry, "deposit", fmt.Sprint("b", i), 4))
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	status := post(f, entry, "photo", "photo", photoBytes)
	f.record.add("consumer  photo is answered with %s", status)
	busy.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	promised := status == "503" || status == "429"
	f.record.add("judge     the upload was answered with %s and has run %d times, at %v", status, len(runs), runs)
	f.record.add("judge     TWICE broken: %v; REFUSED broken: %v", len(runs) > 1, promised && len(runs) > 0)
	if len(runs) > 1 {
		return broken, nil
	}
	return held, nil
}

// post sends one request and returns the status of the answer.
func post(f *fleet, entry *machine, route, id string, length int) string {
	c, err := net.Dial("tcp4", entry.outbound())
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	f.record.add("consumer  sends %s, %d bytes", id, length)
	go func() {
		fmt.Fprintf(c, "POST /%s/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n", route, id, host, id, length)
		_, _ = c.Write(bytes.Repeat([]byte("p"), length))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(resp.StatusCode)
}
