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

func init() { cases["brokenahead"] = brokenAhead }

const (
	// bigAnswerBytes is the length of the first answer, of which a worker breaks off after
	// brokenAfterBytes.
	bigAnswerBytes   = 6 << 20
	brokenAfterBytes = 5 << 20
	// soundRequests is the number of requests behind the first one; each takes soundWork at
	// a sound worker.
	soundRequests = 6
	soundWork     = 150 * time.Millisecond
	// wholeAnswers is the number of answers that the worker sends whole before: it breaks off
	// one of 60, and the dose of the trouble is 0.02.
	wholeAnswers = 59
	// allowedLost is how many requests the rule lets a machine lose.
	allowedLost = 3
)

// brokenAhead: one worker breaks off one long answer. The requests that the consumer has sent
// behind it on the same kept connection, and that sound workers have run, get no answer.
func brokenAhead(f *fleet, trouble bool) (int, error) {
	if err := f.addMachines("wallet", "ledger", "statement"); err != nil {
		return noRun, err
	}
	f.putConfig(7, route{name: "board", kind: "safe", service: "ledger", timeoutS: 4}, route{name: "lookup", kind: "safe", service: "statement", timeoutS: 4})
	for i, m := range f.machines {
		handle := answerSound
		if m.service == "ledger" {
			handle = answerBig(trouble)
		}
		if _, err := m.startWorker(fmt.Sprintf("i-%d", i+1), time.Now().UnixMilli(), handle); err != nil {
			return noRun, err
		}
	}
	if err := f.start(); err != nil {
		return noRun, err
	}
	time.Sleep(stableWindow + time.Second)
	c, err := net.Dial("tcp4", f.machines[0].outbound())
	if err != nil {
		return noRun, err
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	send := func(id, path string) {
		f.record.add("consumer  sends %s, %s", id, path)
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n\r\n", path, host, id)
	}
	answered := func(id string) bool {
		resp, err := http.ReadResponse(reader, nil)
		var n int64
		if err == nil {
			n, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			f.record.add("consumer  %s has no complete answer: %v after %d bytes of the body", id, err, n)
			return false
		}
		f.record.add("consumer  %s is answered with %d, %d bytes, of attempt %s", id, resp.StatusCode, n, resp.Header.Get("X-Attempt-Id"))
		return true
	}
	for i := range wholeAnswers {
		id := fmt.Sprint("w", i)
		send(id, "/board/short")
		if !answered(id) {
			return noRun, nil
		}
	}
	time.Sleep(100 * time.Millisecond)
	send("big", "/board/long")
	for i := range soundRequests {
		send(fmt.Sprint("s", i), fmt.Sprint("/lookup/", i))
	}
	answered("big")
	lost := 0
	for i := range soundRequests {
		if !answered(fmt.Sprint("s", i)) {
			lost++
		}
	}
	time.Sleep(500 * time.Millisecond)
	f.record.add("judge     %d requests at sound workers lost with their connection; the rule allows %d", lost, allowedLost)
	if lost > allowedLost {
		return broken, nil
	}
	return held, nil
}

// answerSound answers whole.
func answerSound(w *worker, c net.Conn, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Attempt-Id")
	w.machine.fleet.record.add("%-9s runs %s", w.id, id)
	time.Sleep(soundWork)
	_, err := io.WriteString(c, w.head(r, 2)+"ok")
	w.machine.fleet.record.add("%-9s has answered %s: %v", w.id, id, err == nil)
	return err == nil
}

// answerBig answers with a long body, and breaks it off if trouble is set.
func answerBig(trouble bool) func(*worker, net.Conn, *http.Request) bool {
	return func(w *worker, c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path != "/board/long" {
			_, err := io.WriteString(c, w.head(r, 2)+"ok")
			return err == nil
		}
		id := r.Header.Get("X-Attempt-Id")
		w.machine.fleet.record.add("%-9s runs %s", w.id, id)
		n := bigAnswerBytes
		if trouble {
			n = brokenAfterBytes
		}
		_, err := io.WriteString(c, w.head(r, bigAnswerBytes)+string(bytes.Repeat([]byte("x"), n)))
		if trouble {
			w.machine.fleet.record.add("%-9s breaks off its answer to %s", w.id, id)
			return false
		}
		w.machine.fleet.record.add("%-9s has answered %s: %v", w.id, id, err == nil)
		return err == nil
	}
}
