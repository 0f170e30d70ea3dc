package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// leaving is how consumers leave that have sent safe requests.
type leaving struct {
	consumers, requests int
	// staying is the number of other consumers, who wait for the answer to one request.
	staying int
	// line is one more line of each request's head.
	line string
	// reset reports whether they reset their connections, and do not just close them.
	reset bool
}

// leftReset lets consumers reset connections on which they sent one request each.
func leftReset(rec *record) int {
	return left(rec, leaving{consumers: 5, staying: 20, requests: 1, line: "Connection: close", reset: true})
}

// leftPipelined lets consumers close connections on which they sent many requests each.
func leftPipelined(rec *record) int {
	return left(rec, leaving{consumers: 2, staying: 8, requests: 18})
}

// left plays consumers that leave 300 ms after their requests, which take 1.5 s each.
func left(rec *record, how leaving) int {
	const work, timeout = 1500 * time.Millisecond, 4 * time.Second
	g, err := newRig(rec, []vmSpec{{"desk", 9}, {"desk", 9}, {"desk", 9}}, func(*worker, *request) answer {
		return answer{work: work}
	})
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	defer g.close()
	g.putConfig(7, []route{{"list", "safe", "desk", timeout.Seconds(), 2}})
	if err := g.startAll(); err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	var mu sync.Mutex
	leftAt := map[string]time.Time{}
	var wg sync.WaitGroup
	for i := range how.consumers {
		wg.Go(func() {
			c, err := net.Dial("tcp4", g.vms[i%len(g.vms)].callers())
			if err != nil {
				rec.logf("consumer %d: %v", i, err)
				return
			}
			var own []string
			var text strings.Builder
			for range how.requests {
				id := attemptID()
				own = append(own, id)
				lines := []string{}
				if how.line != "" {
					lines = append(lines, how.line)
				}
				text.WriteString(requestText(http.MethodGet, "/list/a", id, timeout, "", lines...))
			}
			_, _ = io.WriteString(c, text.String())
			rec.logf("consumer %d sent %v", i, own)
			if g.trouble {
				time.Sleep(300 * time.Millisecond)
			} else {
				time.Sleep(timeout + 200*time.Millisecond)
			}
			if how.reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			at := time.Now()
			_ = c.Close()
			rec.logf("consumer %d left", i)
			mu.Lock()
			defer mu.Unlock()
			for _, id := range own {
				leftAt[id] = at
			}
		})
	}
	for i := range how.staying {
		wg.Go(func() {
			id := attemptID()
			status, err := get(g.vms[i%len(g.vms)].callers(), "/list/a", id, timeout)
			rec.logf("staying consumer %d got %d %v for %s", i, status, err, id)
		})
	}
	wg.Wait()
	time.Sleep(timeout + 500*time.Millisecond)
	late, atWork, lasting := 0, 0, 0
	for id, at := range leftAt {
		for _, r := range g.runsOf(id) {
			rec.logf("%s: run from %v to %v after its consumer left, dropped %v", id, r.at.Sub(at).Round(time.Millisecond), r.done.Sub(at).Round(time.Millisecond), r.cut)
			switch {
			case r.at.Sub(at) > 500*time.Millisecond:
				late++
			case r.at.Add(work).Sub(at) > 500*time.Millisecond:
				// It would have lasted until half a second after the consumer left.
				lasting++
				if r.done.Sub(at) > 500*time.Millisecond {
					atWork++
				}
			}
		}
	}
	rec.say("%d requests reached a worker over half a second after their consumer left", late)
	rec.say("at %d of %d that would have lasted so long a worker was still at work half a second after", atWork, lasting)
	if late > 3 || 4*atWork > lasting {
		return exitBroken
	}
	return exitHeld
}

// get sends one safe request on a new connection.
func get(address, path, id string, deadline time.Duration) (status int, err error) {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	_, _ = io.WriteString(c, requestText(http.MethodGet, path, id, deadline, ""))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
