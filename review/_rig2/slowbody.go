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

// The requests are placement-confirms of hanul-roster-grown with the longest body of the site.
// A slow worker reads firstBytes of a body, pauses, and then reads on.
const (
	confirmBytes = 24_000
	firstBytes   = 2_000
	readPause    = 1350 * time.Millisecond
	confirms     = 3
	// confirmDeadline is how long the consumer waits.
	confirmDeadline = 1500 * time.Millisecond
	// nearDeadline is how long before it the deadline counts as reached.
	nearDeadline = 100 * time.Millisecond
	// termAfter is the time between the requests and SIGTERM.
	termAfter = 200 * time.Millisecond
	// workerWindow is the buffer for what a worker hasn't read, as on the users' links.
	workerWindow = 4 << 10
)

// slowBody: a daemon gets SIGTERM while a worker on another machine works on requests whose
// bodies it reads slowly.
func slowBody(f *fleet, trouble bool) (int, error) {
	if err := f.addMachines("wallet", "ledger"); err != nil {
		return noRun, err
	}
	f.putConfig(7, route{name: "confirm", kind: "unsafe", service: "ledger", timeoutS: 1.5})
	for i, m := range f.machines {
		m.window = workerWindow
		if _, err := m.startWorker(fmt.Sprintf("i-%d", i+1), time.Now().UnixMilli(), answerConfirm(trouble)); err != nil {
			return noRun, err
		}
	}
	if err := f.start(); err != nil {
		return noRun, err
	}
	time.Sleep(stableWindow + time.Second)
	entry := f.machines[0]
	ends := make(chan bool, confirms)
	for i := range confirms {
		go func() { ends <- confirm(f, entry, fmt.Sprint("c", i)) }()
	}
	time.Sleep(termAfter)
	entry.terminate()
	brokenOff := 0
	for range confirms {
		if <-ends {
			brokenOff++
		}
	}
	time.Sleep(readPause)
	f.record.add("judge     %d of %d requests were broken off while their worker was at work", brokenOff, confirms)
	if brokenOff > 0 {
		return broken, nil
	}
	return held, nil
}

// confirm sends one request and reports whether it was broken off before its deadline.
func confirm(f *fleet, entry *machine, id string) bool {
	c, err := net.Dial("tcp4", entry.outbound())
	if err != nil {
		f.record.add("consumer  %s is not sent: %v", id, err)
		return false
	}
	defer func() { _ = c.Close() }()
	f.record.add("consumer  sends %s, %d bytes, and waits up to %v", id, confirmBytes, confirmDeadline)
	started := time.Now()
	fmt.Fprintf(c, "PUT /confirm/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", id, host, id, confirmDeadline.Milliseconds(), confirmBytes)
	_, _ = c.Write(bytes.Repeat([]byte("p"), confirmBytes))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	elapsed := time.Since(started)
	early := elapsed < confirmDeadline-nearDeadline
	if err != nil {
		f.record.add("consumer  %s has no answer after %.2f s: %v", id, elapsed.Seconds(), err)
		return early
	}
	f.record.add("consumer  %s is answered with %d after %.2f s, signature %q", id, resp.StatusCode, elapsed.Seconds(), resp.Header.Get("X-Response-Signature"))
	return early && resp.StatusCode != http.StatusOK
}

// answerConfirm reads a body and answers. With trouble it reads slowly.
func answerConfirm(trouble bool) func(*worker, net.Conn, *http.Request) bool {
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
