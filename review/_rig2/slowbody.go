package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["slowbody"] = slowBody }

const (
	// uploadBytes is the length of an upload, of which a slow worker reads firstBytes, pauses
	// and then reads on.
	uploadBytes = 360_000
	firstBytes  = 64 << 10
	readPause   = 1500 * time.Millisecond
	uploads     = 3
	// termAfter is the time between the uploads and SIGTERM.
	termAfter = 200 * time.Millisecond
)

// slowBody: a daemon gets SIGTERM while a worker on another machine works on uploads, which it
// reads slowly.
func slowBody(f *fleet, trouble bool) (int, error) {
	if err := f.addMachines("wallet", "ledger"); err != nil {
		return noRun, err
	}
	f.putConfig(7, route{name: "photo", kind: "upload", service: "ledger", timeoutS: 6})
	for i, m := range f.machines {
		if _, err := m.startWorker(fmt.Sprintf("i-%d", i+1), time.Now().UnixMilli(), answerUpload(trouble)); err != nil {
			return noRun, err
		}
	}
	if err := f.start(); err != nil {
		return noRun, err
	}
	time.Sleep(stableWindow + time.Second)
	entry := f.machines[0]
	statuses := make(chan string, uploads)
	for i := range uploads {
		go func() { statuses <- upload(f, entry, fmt.Sprint("u", i)) }()
	}
	time.Sleep(termAfter)
	entry.terminate()
	brokenOff := 0
	for range uploads {
		if status := <-statuses; status != "200" {
			brokenOff++
		}
	}
	time.Sleep(readPause)
	f.record.add("judge     %d of %d uploads were broken off while their worker was at work", brokenOff, uploads)
	if brokenOff > 0 {
		return broken, nil
	}
	return held, nil
}

// upload sends one upload and returns the status of the answer.
func upload(f *fleet, entry *machine, id string) string {
	c, err := net.Dial("tcp4", entry.outbound())
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	f.record.add("consumer  sends %s, %d bytes, and waits up to 5 s", id, uploadBytes)
	fmt.Fprintf(c, "POST /photo/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", id, host, id, uploadBytes)
	if _, err := c.Write(bytes.Repeat([]byte("p"), uploadBytes)); err != nil {
		return err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		f.record.add("consumer  %s has no answer: %v", id, err)
		return err.Error()
	}
	f.record.add("consumer  %s is answered with %d, signature %q", id, resp.StatusCode, resp.Header.Get("X-Response-Signature"))
	return fmt.Sprint(resp.StatusCode)
}

// answerUpload reads a body and answers. With trouble it reads slowly.
func answerUpload(trouble bool) func(*worker, net.Conn, *http.Request) bool {
	return func(w *worker, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Attempt-Id")
		w.machine.fleet.record.add("%-9s begins to work on %s", w.id, id)
		n, err := io.CopyN(io.Discard, r.Body, firstBytes)
		if trouble {
			time.Sleep(readPause)
		}
		if err == nil {
			var more int64
			more, err = io.Copy(io.Discard, r.Body)
			n += more
		}
		if !trouble {
			time.Sleep(readPause)
		}
		if err != nil {
			w.machine.fleet.record.add("%-9s could not read %s to its end: %v after %d bytes", w.id, id, err, n)
			return false
		}
		_, err = io.WriteString(c, w.head(r, 2)+"ok")
		w.machine.fleet.record.add("%-9s has read %d bytes of %s and answered: %v", w.id, n, id, err == nil)
		return err == nil
	}
}
