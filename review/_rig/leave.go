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
	"sync/atomic"
	"time"
)

// tally counts the requests of a kind, and those that were served.
type tally struct{ sent, served atomic.Int64 }

func (t *tally) share() float64 {
	if t.sent.Load() == 0 {
		return 1
	}
	return float64(t.served.Load()) / float64(t.sent.Load())
}

func (t *tally) String() string {
	return fmt.Sprintf("%d of %d served", t.served.Load(), t.sent.Load())
}

// Figures of the disruption give_up.
const (
	giveUpShare  = 0.3
	giveUpFor    = 5 * time.Second
	giveUpWithin = 30 * time.Millisecond
	giveUpGap    = 500 * time.Millisecond
	giveUps      = 15
	// leaveConsumers is the number of consumers of images.
	leaveConsumers = 8
)

// leave lets consumers of images leave early for some spells, and then counts how many of
// the requests are served in steady state.
func leave(rec *record, trouble bool) (bool, error) {
	services := []string{"ledger", "ledger", "ledger", "photo-desk", "photo-desk"}
	f, err := newFleet(rec, services, []string{"zone-1", "zone-2", "zone-3"}, "")
	if err != nil {
		return false, err
	}
	defer f.close()
	picture := bodyFor("picture", 300_000)
	var n atomic.Uint64
	for _, m := range f.machines {
		m.worker.work = func(*http.Request) time.Duration { return time.Duration(5+n.Add(7)%20) * time.Millisecond }
		// Images are long enough for the daemon to pass them on as they come.
		if m.service == "photo-desk" {
			m.worker.answer = func(*http.Request) []byte { return picture }
		}
	}
	first := []route{{name: "r-tally", prefix: "/tally/", kind: "safe", service: "ledger", timeoutS: 0.8, targetS: 0.2, priority: 2}}
	f.configure(7, first)
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	f.configure(9, append(first, route{name: "r-image", prefix: "/image/", kind: "safe", service: "photo-desk", timeoutS: 0.8, targetS: 0.06, priority: 1}))
	time.Sleep(3 * time.Second)

	var before, during, after [2]tally
	phase := &before
	var mu sync.Mutex
	current := func() *[2]tally { mu.Lock(); defer mu.Unlock(); return phase }
	enter := func(p *[2]tally, what string) {
		mu.Lock()
		defer mu.Unlock()
		phase = p
		rec.note("%s", what)
	}
	var leaving atomic.Bool
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var consumers sync.WaitGroup
	for k := range 6 + leaveConsumers {
		m := f.machines[k%3]
		if k >= 6 {
			m = f.machines[3+k%2]
		}
		path, kind := "/tally/t", 0
		pause := 60 * time.Millisecond
		if m.service == "photo-desk" {
			path, kind, pause = "/image/p", 1, 10*time.Millisecond
		}
		consumers.Go(func() {
			rng := rand.New(rand.NewPCG(2, uint64(k)))
			client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
			for i := 0; ctx.Err() == nil; i++ {
				wait := 800 * time.Millisecond
				leaves := leaving.Load() && kind == 1 && rng.Float64() < giveUpShare
				if leaves {
					wait = time.Duration(rng.Int64N(int64(giveUpWithin)))
				}
				counts := current()
				served := get(rec, client, m, path, fmt.Sprintf("%04x%06x", k, i), wait, leaves)
				if !leaves {
					counts[kind].sent.Add(1)
					if served {
						counts[kind].served.Add(1)
					}
				}
				time.Sleep(pause + time.Duration(rng.Int64N(int64(pause))))
			}
		})
	}
	time.Sleep(4 * time.Second)
	enter(&during, "spells of give_up begin")
	for range giveUps {
		leaving.Store(trouble)
		time.Sleep(giveUpFor)
		leaving.Store(false)
		time.Sleep(giveUpGap)
	}
	rec.note("no consumer leaves early any more")
	time.Sleep(3 * time.Second) // stableWindowS
	enter(&after, "steady state")
	time.Sleep(8 * time.Second)
	stop()
	consumers.Wait()
	rec.say("before: first routes %v, added route %v", &before[0], &before[1])
	rec.say("in the spells: first routes %v, added route %v", &during[0], &during[1])
	rec.say("steady state after them: first routes %v, added route %v", &after[0], &after[1])
	for _, m := range f.machines {
		rec.say("%s says that it is ready: %t; requests at its worker: %d; by its own metrics: %s", m.name, m.isReady(), m.worker.busy(), metric(fmt.Sprintf("%s:%d", m.host, f.ports[portLast]), "fireflyfall_gate_running"))
	}
	broken := after[1].sent.Load() >= 20 && after[1].share() < after[0].share()/4
	if broken {
		rec.say("CONFIG: the route that was added later is served less than a quarter as often as the first one")
	}
	return broken, nil
}

// get sends a request, reads the answer and reports whether it is a success. A consumer that
// leaves closes the connection after wait.
func get(rec *record, client *http.Client, m *machine, path, id string, wait time.Duration, leaves bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.outbound+path, nil)
	if err != nil {
		return false
	}
	const deadline = 800 * time.Millisecond
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	status := 0
	resp, err := client.Do(req)
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	switch {
	case leaves && errors.Is(err, context.DeadlineExceeded):
		rec.note("%s %s at %s: the consumer leaves after %v", path, id, m.name, wait.Round(10*time.Microsecond))
	default:
		rec.note("%s %s at %s: %d %v", path, id, m.name, status, err)
	}
	return err == nil && status == http.StatusOK
}
