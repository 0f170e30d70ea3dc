package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["clockback"] = clockBack }

const (
	// clockStep is by how much the time of day was ahead on the worker's machine, and
	// firstLife how long the worker's first process lived.
	clockStep = 2400 * time.Millisecond
	firstLife = 1400 * time.Millisecond
	// calmTime lies between the end of all trouble and the planned shutdown.
	calmTime = 6 * time.Second
	// ledgerWorkers is the number of workers of the service, of which one goes down and up: a
	// share of 0.1 of them, and 0.09 of the machines.
	ledgerWorkers = 10
	// lateBookings is the number of bookings that come at once in the end: a machine of the site has some
	// twelve consumers.
	lateBookings = 12
	// bookingWork is how long a booking takes.
	bookingWork = 400 * time.Millisecond
	// lateBy is how long after the bound of the rule the consumer sends, and leaveAfter how
	// long the worker goes on after that bound.
	lateBy     = 300 * time.Millisecond
	leaveAfter = 500 * time.Millisecond
)

// clockBack: a worker starts again under its ID while the time of day of its machine goes back
// to the true one. Later it drains, and its store accepts that.
func clockBack(f *fleet, trouble bool) (int, error) {
	if err := f.addMachines(append([]string{"wallet"}, slices.Repeat([]string{"ledger"}, ledgerWorkers)...)...); err != nil {
		return noRun, err
	}
	f.putConfig(7, route{name: "signup", kind: "unsafe", service: "ledger", timeoutS: 3})
	var late atomic.Bool
	var lateRuns atomic.Int64
	handle := func(w *worker, c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Attempt-Id")
		f.record.add("%-9s runs %s", w.id, id)
		if late.Load() && w.id == "i-4" {
			lateRuns.Add(1)
		}
		time.Sleep(bookingWork)
		_, err := io.WriteString(c, w.head(r, 2)+"ok")
		f.record.add("%-9s has answered %s: %v", w.id, id, err == nil)
		return err == nil
	}
	// The worker that goes down and up is in the zone of the consumer.
	entry, other := f.machines[0], f.machines[3]
	if _, err := entry.startWorker("i-1", time.Now().UnixMilli(), handle); err != nil {
		return noRun, err
	}
	for i, m := range f.machines {
		if m == entry || m == other {
			continue
		}
		if _, err := m.startWorker(fmt.Sprintf("i-%d", i+1), time.Now().UnixMilli(), handle); err != nil {
			return noRun, err
		}
	}
	if err := f.start(); err != nil {
		return noRun, err
	}
	time.Sleep(stableWindow)
	born := time.Now()
	if trouble {
		born = born.Add(clockStep)
		f.record.add("trouble   the time of day of %s is %v ahead", other.name, clockStep)
	}
	first, err := other.startWorker("i-4", born.UnixMilli(), handle)
	if err != nil {
		return noRun, err
	}
	f.record.add("i-4       starts, born %d", first.born)
	time.Sleep(firstLife)
	first.stop()
	f.record.add("i-4       ends without notice; the time of day of %s is true again", other.name)
	time.Sleep(200 * time.Millisecond)
	second, err := other.startWorker("i-4", time.Now().UnixMilli(), handle)
	if err != nil {
		return noRun, err
	}
	f.record.add("i-4       starts again, born %d", second.born)
	time.Sleep(calmTime)
	f.record.add("consumer  b1 is answered with %s", book(f, entry, "b1"))
	time.Sleep(time.Second)
	second.drain()
	acknowledged := time.Now()
	f.record.add("i-4       reports draining, and the store has accepted it")
	time.Sleep(time.Until(acknowledged.Add(drainTime + lateBy)))
	late.Store(true)
	time.AfterFunc(time.Until(acknowledged.Add(drainTime+leaveAfter)), func() {
		f.record.add("i-4       ends as planned, and leaves the store")
		second.stop()
		f.store.DeleteEntry(second.id)
	})
	var bookings sync.WaitGroup
	var lost atomic.Int64
	for i := range lateBookings {
		bookings.Go(func() {
			id := fmt.Sprint("l", i)
			status := book(f, entry, id)
			f.record.add("consumer  %s is answered with %s", id, status)
			if status != "200" && status != "503" {
				lost.Add(1)
			}
		})
	}
	bookings.Wait()
	f.record.add("judge     %d of %d bookings were lost", lost.Load(), lateBookings)
	f.record.add("judge     %d requests reached i-4 later than %v after its draining was accepted", lateRuns.Load(), drainTime)
	if lateRuns.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// book sends one request that may run once, and returns the status of the answer.
func book(f *fleet, entry *machine, id string) string {
	c, err := net.Dial("tcp4", entry.outbound())
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	f.record.add("consumer  sends %s", id)
	fmt.Fprintf(c, "POST /signup/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\nbody", id, host, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(resp.StatusCode)
}
