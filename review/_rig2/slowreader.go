package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["slowreader"] = slowReader }

// The answers of the slow consumer: several, sent for before the first was answered, which it
// begins to read readAfter later, and then reads at once. Size, kind and deadline are those
// of history-export.
const (
	slowAnswers     = 16
	slowAnswerBytes = 30_000
	readAfter       = 2200 * time.Millisecond
	slowDeadline    = 2500 * time.Millisecond
	// sentAfter is the time between SIGTERM and the requests, when the platform has seen at
	// most one miss.
	sentAfter = 900 * time.Millisecond
	// segmentBytes and windowBytes make the consumer's connection like one on a usual network,
	// where loopback would hold some megabytes.
	segmentBytes = 1448
	windowBytes  = 4 << 10
)

// slowReader: a daemon gets SIGTERM while a consumer reads the answers that its daemon holds
// for it.
func slowReader(f *fleet, trouble bool) (int, error) {
	if err := f.addMachines("wallet", "ledger"); err != nil {
		return noRun, err
	}
	f.putConfig(7, route{name: "export", kind: "safe", service: "ledger", timeoutS: 2.5})
	for i, m := range f.machines {
		if _, err := m.startWorker(fmt.Sprintf("i-%d", i+1), time.Now().UnixMilli(), answerLong); err != nil {
			return noRun, err
		}
	}
	if err := f.start(); err != nil {
		return noRun, err
	}
	time.Sleep(stableWindow + time.Second)
	entry := f.machines[0]
	c, err := slowDialer().Dial("tcp4", entry.outbound())
	if err != nil {
		return noRun, err
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	send := func(id string) {
		f.record.add("consumer  sends %s", id)
		fmt.Fprintf(c, "GET /export/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", id, host, id, slowDeadline.Milliseconds())
	}
	send("kept")
	if err := readLong(reader, "kept"); err != nil {
		return noRun, err
	}
	if trouble {
		entry.terminate()
	}
	time.Sleep(sentAfter)
	for i := range slowAnswers {
		send(fmt.Sprintf("a%d", i))
	}
	started := time.Now()
	time.Sleep(readAfter)
	f.record.add("consumer  begins to read")
	lost := 0
	for i := range slowAnswers {
		id := fmt.Sprintf("a%d", i)
		if err := readLong(reader, id); err != nil {
			f.record.add("consumer  %s has no complete answer: %v", id, err)
			lost++
			continue
		}
		f.record.add("consumer  %s is answered with 200, whole", id)
	}
	elapsed := time.Since(started)
	f.record.add("judge     %d of %d requests lost; the last answer ended %.2f s after the requests, of %.1f s", lost, slowAnswers, elapsed.Seconds(), slowDeadline.Seconds())
	switch {
	case elapsed > slowDeadline:
		return noRun, nil
	case lost > 0:
		return broken, nil
	}
	return held, nil
}

// answerLong answers at once with a long body.
func answerLong(w *worker, c net.Conn, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Attempt-Id")
	w.machine.fleet.record.add("%-9s runs %s", w.id, id)
	if _, err := io.WriteString(c, w.head(r, slowAnswerBytes)); err != nil {
		return false
	}
	_, err := c.Write(bytes.Repeat([]byte("x"), slowAnswerBytes))
	w.machine.fleet.record.add("%-9s has sent its whole answer to %s: %v", w.id, id, err == nil)
	return err == nil
}

// readLong reads one complete answer.
func readLong(reader *bufio.Reader, id string) error {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	switch {
	case err != nil:
		return fmt.Errorf("after %d bytes of the body: %w", n, err)
	case resp.StatusCode != http.StatusOK || resp.Header.Get("X-Attempt-Id") != id || n != slowAnswerBytes:
		return fmt.Errorf("status %d, %d bytes", resp.StatusCode, n)
	}
	return nil
}

// slowDialer returns a dialer whose connections have the segments of a usual network and a
// small window.
func slowDialer() *net.Dialer {
	return &net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
	}}
}
