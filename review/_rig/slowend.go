package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cut is a request on a kept connection that ended without an answer.
type cut struct {
	id string
	at time.Time
}

// slowEnd lets consumers at one machine upload bodies in chunks, whose last chunk comes a
// little later, while one worker of the service after the other crashes at other machines.
// Others at that machine send safe requests on kept connections to sound workers.
func slowEnd(rec *record, trouble bool) (bool, error) {
	services := deskServices()
	f, err := newFleet(rec, services, []string{"zone-1", "zone-2", "zone-3"}, "")
	if err != nil {
		return false, err
	}
	defer f.close()
	for _, m := range f.machines {
		m.worker.work = func(*http.Request) time.Duration { return 60 * time.Millisecond }
	}
	f.configure(7, []route{
		{name: "r-photo", prefix: "/photo/", kind: "upload", service: "photo-desk", timeoutS: 1.2, targetS: 0.3, priority: 1},
		{name: "r-tally", prefix: "/tally/", kind: "safe", service: "ledger", timeoutS: 0.8, targetS: 0.2, priority: 2},
	})
	if err := f.startAll(); err != nil {
		return false, err
	}
	entry := f.machines[0]
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var cuts []cut
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var consumers sync.WaitGroup
	for n := range 16 {
		consumers.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("%04x%06x", n, i)
				if !keptGet(rec, client, entry, id) {
					mu.Lock()
					cuts = append(cuts, cut{id: id, at: time.Now()})
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(time.Duration(5+rand.IntN(30)) * time.Millisecond)
			}
		})
	}
	for n := range 4 {
		consumers.Go(func() {
			rng := rand.New(rand.NewPCG(3, uint64(n)))
			for i := 0; ctx.Err() == nil; i++ {
				slowUpload(rec, entry, fmt.Sprintf("f%03x%04x", n, i), 1_100_000+rng.IntN(600_000))
				time.Sleep(time.Duration(100+rng.IntN(100)) * time.Millisecond)
			}
		})
	}
	ended := entry.ended
	var endedAt time.Time
	watch := func(d time.Duration) bool {
		select {
		case <-ended:
			endedAt = time.Now()
			rec.say("the daemon of %s has ended by itself: %v", entry.name, entry.daemon.ProcessState)
			return true
		case <-time.After(d):
			return false
		}
	}
	const rounds = 6
	for i := range rounds {
		if watch(3 * time.Second) {
			break
		}
		w := f.machines[ledgers+i%desks].worker
		if trouble {
			w.crash()
		}
		if watch(4500 * time.Millisecond) {
			break
		}
		if trouble {
			rec.note("worker %s starts again", w.id)
			if err := w.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(300 * time.Millisecond)
	stop()
	consumers.Wait()
	ran := make(map[string]string)
	for _, m := range f.machines {
		for _, r := range m.worker.ran() {
			ran[r.id] = r.instance
		}
	}
	lost := 0
	for _, c := range cuts {
		if instance, ok := ran[c.id]; ok {
			lost++
			rec.say("LOST: request %s was passed on to worker %s, which is sound, and its kept connection ended without an answer", c.id, instance)
		}
	}
	if !endedAt.IsZero() {
		rec.say("last lines of the daemon:\n%s", f.lastLines(entry, "panic", "goroutine"))
	}
	rec.say("%d requests on kept connections passed on to sound workers and cut", lost)
	return lost > 3, nil
}

// keptGet sends a safe request on a kept connection, and reports whether an answer came, or
// the connection was refused.
func keptGet(rec *record, client *http.Client, m *machine, id string) bool {
	const deadline = 800 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.outbound+"/tally/t", nil)
	if err != nil {
		return true
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	resp, err := client.Do(req)
	if err != nil {
		rec.note("request %s at %s: %v", id, m.name, err)
		return errors.Is(err, context.DeadlineExceeded)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	rec.note("request %s at %s: %d %v", id, m.name, resp.StatusCode, err)
	return err == nil
}

// slowUpload sends an upload in chunks, whose last chunk comes 200 ms after the others.
func slowUpload(rec *record, m *machine, id string, length int) {
	const deadline = 1200 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, w := io.Pipe()
	go func() {
		_, _ = w.Write(bodyFor(id, length))
		time.Sleep(200 * time.Millisecond)
		_ = w.Close()
	}()
	defer func() { _ = r.Close() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.outbound+"/photo/batch", r)
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	rec.note("upload %s at %s, %d bytes: %d %v", id, m.name, length, status, err)
}
