package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// left lets consumers leave that have sent several safe requests each.
func left(rec *record) int {
	const work, outstanding, consumers = 1500 * time.Millisecond, 18, 2
	g, err := newRig(rec, []vmSpec{{"desk", 9}, {"desk", 9}, {"desk", 9}}, func(*worker, *request) answer {
		return answer{work: work}
	})
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	defer g.close()
	g.putConfig(7, []route{{"list", "safe", "desk", 4, 2}})
	if err := g.startAll(); err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	var mu sync.Mutex
	ids := map[string]time.Time{}
	var wg sync.WaitGroup
	for i := range consumers {
		wg.Go(func() {
			c, err := net.Dial("tcp4", g.vms[i].callers())
			if err != nil {
				return
			}
			var own []string
			var text strings.Builder
			for range outstanding {
				id := attemptID()
				own = append(own, id)
				text.WriteString(requestText(http.MethodGet, "/list/a", id, 4*time.Second, ""))
			}
			_, _ = io.WriteString(c, text.String())
			if g.trouble {
				time.Sleep(300 * time.Millisecond)
			} else {
				time.Sleep(4 * time.Second)
			}
			_ = c.Close()
			at := time.Now()
			mu.Lock()
			defer mu.Unlock()
			for _, id := range own {
				ids[id] = at
			}
			rec.logf("consumer %d left", i)
		})
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	late, atWork, all := 0, 0, 0
	for id, leftAt := range ids {
		for _, r := range g.runsOf(id) {
			all++
			rec.logf("%s began %v and ended %v after the consumer left, cut %v", id, r.at.Sub(leftAt), r.done.Sub(leftAt), r.cut)
			if r.at.Sub(leftAt) > 500*time.Millisecond {
				late++
			} else if r.done.Sub(leftAt) > 500*time.Millisecond {
				atWork++
			}
		}
	}
	rec.say("%d runs; %d reached a worker over half a second after their consumer left, at %d a worker still worked then", all, late, atWork)
	if late > 3 || 4*atWork > all {
		return exitBroken
	}
	return exitHeld
}
