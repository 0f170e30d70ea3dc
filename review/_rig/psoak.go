package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func psoak(rec *record, _ bool) (bool, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	forS, _ := strconv.Atoi(os.Getenv("FOR"))
	kinds := strings.Split(os.Getenv("FAULTS"), ",")
	f, err := newFleet(rec, []string{"ledger", "ledger", "ledger", "ledger", "ledger", "ledger"}, []string{"zone-1", "zone-2", "zone-3"}, "")
	if err != nil {
		return false, err
	}
	defer f.close()
	for _, m := range f.machines {
		m.worker.work = func(*http.Request) time.Duration { return time.Duration(10+rand.IntN(60)) * time.Millisecond }
		if os.Getenv("MIS") != "" {
			modes := strings.Split(os.Getenv("MIS"), ",")
			if m != f.machines[0] && m != f.machines[1] {
				m.worker.mis = func(*http.Request) string {
					if rand.IntN(20) == 0 {
						return modes[rand.IntN(len(modes))]
					}
					return ""
				}
			}
		}
	}
	f.configure(7, []route{{name: "r-tally", prefix: "/tally/", kind: "safe", service: "ledger", timeoutS: 0.8, targetS: 0.2, priority: 2}})
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var mu sync.Mutex
	var cuts []piped
	whys := map[string]int{}
	sent, answered := 0, 0
	var wg sync.WaitGroup
	for n := range 16 {
		m := f.machines[n%2]
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				var g []piped
				for k := range 1 + rand.IntN(12) {
					g = append(g, piped{id: fmt.Sprintf("%02x%05x%x", n, i, k), path: "/tally/t", deadline: 800 * time.Millisecond})
				}
				why, el := sendPiped(m, g)
				rec.note("%v at %s: %s after %v", g, m.name, why, el)
				mu.Lock()
				whys[why[:min(len(why), 10)]]++
				for _, p := range g {
					sent++
					if p.status != 0 {
						answered++
					} else if el < 900*time.Millisecond {
						cuts = append(cuts, p)
					}
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	rng := rand.New(rand.NewPCG(seed, 5))
	for end := time.Now().Add(time.Duration(forS) * time.Second); time.Now().Before(end); {
		m := f.machines[2+rng.IntN(4)]
		switch kinds[rng.IntN(len(kinds))] {
		case "crash":
			m.worker.crash()
			time.Sleep(time.Duration(500+rng.IntN(4000)) * time.Millisecond)
			if err := m.worker.start(); err != nil {
				return false, err
			}
		case "kill", "term":
			s := syscall.SIGKILL
			if rng.IntN(2) == 0 {
				s = syscall.SIGTERM
			}
			f.signal(m, s)
			<-m.ended
			time.Sleep(300 * time.Millisecond)
			if err := f.startDaemon(m); err != nil {
				return false, err
			}
			m.awaitReady(5 * time.Second)
		case "stop":
			f.signal(m, syscall.SIGSTOP)
			time.Sleep(time.Duration(200+rng.IntN(3000)) * time.Millisecond)
			f.signal(m, syscall.SIGCONT)
		}
		time.Sleep(time.Duration(300+rng.IntN(1000)) * time.Millisecond)
	}
	stop()
	wg.Wait()
	lost := 0
	ran := map[string][]string{}
	for _, m := range f.machines {
		for _, r := range m.worker.ran() {
			ran[r.id] = append(ran[r.id], r.instance)
		}
	}
	for _, c := range cuts {
		if len(ran[c.id]) > 0 {
			lost++
			rec.say("CUT %s %v", c.id, ran[c.id])
		}
	}
	rec.say("%d sent, %d answered, %d cut; %v", sent, answered, lost, whys)
	return lost > 3, nil
}
