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
	// wholeAnswers is the number of answers that the worker sends whole before it breaks one
	// off: one of 60, and the dose of the trouble is 0.02. It is one of two workers of its
	// service, so each of them has to answer; mostShort limits the short requests, and rounds
	// those with a long answer.
	wholeAnswers = 59
	mostShort    = 600
	rounds       = 12
	// allowedLost is how many requests the rule lets a machine lose.
	allowedLost = 3
)

// brokenAhead: one worker breaks off one long answer. The requests that the consumer has sent
// behind it on the same kept connection, and that sound workers have run, get no answer.
func brokenAhead(f *fleet, trouble bool) (int, error) {
	if err := f.addMachines("wallet", "ledger", "ledger", "statement"); err != nil {
		return noRun, err
	}
	f.putConfig(7, route{name: "board", kind: "safe", service: "ledger", timeoutS: 4}, route{name: "lookup", kind: "safe", service: "statement", timeoutS: 4})
	var faulty fault
	for i, m := range f.machines {
		handle := answerSound
		if m.service == "ledger" {
			handle = answerBig(trouble, &faulty)
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
	for i := 0; faulty.worker() == "" && i < mostShort; i++ {
		id := fmt.Sprint("w", i)
		send(id, "/board/short")
		if !answered(id) {
			return noRun, nil
		}
	}
	f.record.add("trouble   %s, which has sent %d whole answers, is the faulty worker of two", faulty.worker(), wholeAnswers)
	lost := 0
	for round := 0; round < rounds && !faulty.hasBroken(); round++ {
		time.Sleep(100 * time.Millisecond)
		send(fmt.Sprint("big", round), "/board/long")
		for i := range soundRequests {
			send(fmt.Sprintf("s%d-%d", round, i), fmt.Sprint("/lookup/", i))
		}
		answered(fmt.Sprint("big", round))
		for i := range soundRequests {
			if !answered(fmt.Sprintf("s%d-%d", round, i)) {
				lost++
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	f.record.add("judge     %d requests at sound workers lost with their connection; the rule allows %d", lost, allowedLost)
	switch {
	case lost > allowedLost:
		return broken, nil
	case trouble && !faulty.hasBroken():
		return noRun, nil
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

// fault is the trouble: of the workers of a service, the first that has sent wholeAnswers whole
// answers breaks off one.
type fault struct {
	mu     sync.Mutex
	whole  map[string]int
	id     string
	broken bool
}

// worker returns the ID of the faulty worker, "" as long as it isn't known.
func (f *fault) worker() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.id
}

// hasBroken reports whether an answer was broken off.
func (f *fault) hasBroken() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.broken
}

// sent records a whole answer.
func (f *fault) sent(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.whole == nil {
		f.whole = make(map[string]int)
	}
	f.whole[id]++
	if f.id == "" && f.whole[id] == wholeAnswers {
		f.id = id
	}
}

// breaksOff reports whether a worker breaks off the long answer that it begins.
func (f *fault) breaksOff(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.broken || f.id != id {
		return false
	}
	f.broken = true
	return true
}

// answerBig answers requests for a long answer with one, and breaks one off if trouble is set.
func answerBig(trouble bool, faulty *fault) func(*worker, net.Conn, *http.Request) bool {
	return func(w *worker, c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path != "/board/long" {
			_, err := io.WriteString(c, w.head(r, 2)+"ok")
			faulty.sent(w.id)
			return err == nil
		}
		id := r.Header.Get("X-Attempt-Id")
		w.machine.fleet.record.add("%-9s runs %s", w.id, id)
		if trouble && faulty.breaksOff(w.id) {
			_, _ = io.WriteString(c, w.head(r, bigAnswerBytes)+string(bytes.Repeat([]byte("x"), brokenAfterBytes)))
			w.machine.fleet.record.add("%-9s breaks off its answer to %s", w.id, id)
			return false
		}
		_, err := io.WriteString(c, w.head(r, bigAnswerBytes)+string(bytes.Repeat([]byte("x"), bigAnswerBytes)))
		w.machine.fleet.record.add("%-9s has answered %s: %v", w.id, id, err == nil)
		return err == nil
	}
}
