package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// piped is a request that a consumer sent on a connection, perhaps behind others.
type piped struct {
	id, path string
	deadline time.Duration
	status   int
	// slow is the worker that was slow when the request was sent.
	slow string
}

// Figures of the disruption srv_slow.
const (
	slowFactor = 8
	slowFor    = 6500 * time.Millisecond
	slowSpells = 5
)

// pipeline lets consumers send safe requests behind others on kept connections, to images
// and to tallies, while workers of the tallies turn slow for some spells.
func pipeline(rec *record, trouble bool) (bool, error) {
	services := []string{"ledger", "ledger", "ledger", "ledger", "photo-desk", "photo-desk"}
	f, err := newFleet(rec, services, []string{"zone-1", "zone-2", "zone-3"}, "")
	if err != nil {
		return false, err
	}
	defer f.close()
	picture := bodyFor("picture", 300_000)
	var slow atomic.Int64 // The number of the worker that is slow, -1 if none is.
	slow.Store(-1)
	for i, m := range f.machines {
		if m.service == "photo-desk" {
			m.worker.work = func(*http.Request) time.Duration { return 15 * time.Millisecond }
			m.worker.answer = func(*http.Request) []byte { return picture }
			continue
		}
		m.worker.work = func(*http.Request) time.Duration {
			work := 25*time.Millisecond + time.Duration(rand.Int64N(int64(30*time.Millisecond)))
			if int64(i) == slow.Load() {
				work = time.Duration(slowFactor * float64(work))
			}
			return work
		}
	}
	f.configure(7, []route{
		{name: "r-tally", prefix: "/tally/", kind: "safe", service: "ledger", timeoutS: 0.8, targetS: 0.2, priority: 2},
		{name: "r-image", prefix: "/image/", kind: "safe", service: "photo-desk", timeoutS: 0.2, targetS: 0.06, priority: 1},
	})
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var cuts []piped
	sent, answered := 0, 0
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var consumers sync.WaitGroup
	for n := range 12 {
		m := f.machines[n%len(f.machines)]
		consumers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				group := []piped{
					{path: "/tally/t", deadline: 800 * time.Millisecond},
					{path: "/image/p", deadline: 200 * time.Millisecond},
					{path: "/tally/t", deadline: 800 * time.Millisecond},
					{path: "/tally/t", deadline: 800 * time.Millisecond},
				}
				for k := range group {
					group[k].id = fmt.Sprintf("%03x%04x%x", n, i, k)
				}
				if k := slow.Load(); k >= 0 {
					for j := range group {
						group[j].slow = f.machines[k].worker.id
					}
				}
				why, elapsed := sendPiped(m, group)
				rec.note("%v on one connection at %s: %s after %v", group, m.name, why, elapsed.Round(time.Millisecond))
				mu.Lock()
				for _, p := range group {
					sent++
					switch {
					case p.status != 0:
						answered++
					case elapsed < p.deadline-100*time.Millisecond:
						cuts = append(cuts, p)
					}
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for i := range slowSpells {
		time.Sleep(3 * time.Second)
		if trouble {
			slow.Store(int64(i % 4))
			rec.note("worker %s turns slow", f.machines[i%4].worker.id)
		}
		time.Sleep(slowFor)
		slow.Store(-1)
		rec.note("no worker is slow")
	}
	stop()
	consumers.Wait()
	time.Sleep(time.Second)
	ran := make(map[string][]string)
	for _, m := range f.machines {
		for _, r := range m.worker.ran() {
			ran[r.id] = append(ran[r.id], r.instance)
		}
	}
	lost := 0
	for _, c := range cuts {
		// A worker that is slow doesn't count as a sound one here.
		if slices.ContainsFunc(ran[c.id], func(w string) bool { return w != c.slow }) {
			lost++
			rec.note("LOST: request %s to %s ran at %v, and its kept connection was closed without an answer, well before its deadline of %v", c.id, c.path, ran[c.id], c.deadline)
		}
	}
	rec.say("%d requests sent, %d answered; %d had been passed on to a sound worker when their kept connection was closed without an answer, over 100 ms before their deadline", sent, answered, lost)
	return lost > 3, nil
}

// sendPiped sends requests on one connection without waiting for answers, and then reads
// those until the connection ends or the last one is there. It returns how it ended.
func sendPiped(m *machine, group []piped) (why string, elapsed time.Duration) {
	started := time.Now()
	c, err := net.DialTimeout("tcp4", m.outbound, time.Second)
	if err != nil {
		return err.Error(), 2 * time.Second
	}
	defer func() { _ = c.Close() }()
	var out string
	for _, p := range group {
		out += fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", p.path, host, p.id, p.deadline.Milliseconds())
	}
	if _, err := io.WriteString(c, out); err != nil {
		return err.Error(), 2 * time.Second
	}
	_ = c.SetReadDeadline(started.Add(time.Second))
	r := bufio.NewReader(c)
	for i := range group {
		resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet})
		if err != nil {
			return fmt.Sprintf("answer %d: %v", i+1, err), time.Since(started)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return fmt.Sprintf("body of answer %d: %v", i+1, err), time.Since(started)
		}
		group[i].status = resp.StatusCode
	}
	return "all answered", time.Since(started)
}
