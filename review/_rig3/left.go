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

// leaving is how consumers leave, and what they sent.
type leaving struct {
	// method is that of their requests, which are safe if it is GET, and unsafe otherwise.
	method              string
	consumers, requests int
	// staying is the number of other consumers, who wait for the answer to one safe request.
	staying int
	// line is one more line of the head of each request of those who leave.
	line string
	// reset reports whether they reset their connections, and do not just close them.
	reset bool
	// work is the time of each request, and slots the number of them that a worker runs at once.
	work  time.Duration
	slots int
}

// leftReset lets consumers reset connections on which they sent one unsafe request each.
func leftReset(rec *record) int {
	return left(rec, leaving{
		method: http.MethodPost, consumers: 6, requests: 1, staying: 24, line: "Connection: close",
		reset: true, work: time.Second, slots: 4,
	})
}

// leftPipelined lets consumers close connections on which they sent many safe requests each.
func leftPipelined(rec *record) int {
	return left(rec, leaving{
		method: http.MethodGet, consumers: 2, requests: 18, staying: 8, work: 1500 * time.Millisecond, slots: 9,
	})
}

const (
	// leaveAfter is when consumers leave, half of the latency target at most.
	leaveAfter = 300 * time.Millisecond
	// leftTimeout is the time that consumers and the routes allow.
	leftTimeout = 4 * time.Second
	// lateAfter is the time after which work for a consumer that left is late.
	lateAfter = 500 * time.Millisecond
)

// left plays consumers that leave, and counts the work that is done for them later.
func left(rec *record, how leaving) int {
	spec := vmSpec{"desk", how.slots}
	g, err := newRig(rec, []vmSpec{spec, spec, spec}, func(*worker, *request) answer { return answer{work: how.work} })
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	defer g.close()
	g.putConfig(7, []route{{"list", "safe", "desk", leftTimeout.Seconds(), 2}, {"book", "unsafe", "desk", leftTimeout.Seconds(), 2}})
	if err := g.startAll(); err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	var wg sync.WaitGroup
	for i := range how.staying {
		wg.Go(func() {
			id := attemptID()
			rec.logf("staying consumer %d sends %s", i, id)
			status, err := get(g.vms[i%len(g.vms)].callers(), "/list/a", id, leftTimeout)
			rec.logf("staying consumer %d got %d %v for %s", i, status, err, id)
		})
	}
	time.Sleep(100 * time.Millisecond)
	var mu sync.Mutex
	leftAt := map[string]time.Time{}
	for i := range how.consumers {
		wg.Go(func() {
			ids, at := how.sendAndLeave(rec, g.vms[i%len(g.vms)].callers(), g.trouble)
			rec.logf("consumer %d with requests %v has left", i, ids)
			mu.Lock()
			defer mu.Unlock()
			for _, id := range ids {
				leftAt[id] = at
			}
		})
	}
	wg.Wait()
	time.Sleep(leftTimeout)
	late, atWork, lasting := 0, 0, 0
	for id, at := range leftAt {
		for _, r := range g.runsOf(id) {
			rec.logf("%s: run from %v to %v after its consumer left, dropped %v", id, r.at.Sub(at).Round(time.Millisecond), r.done.Sub(at).Round(time.Millisecond), r.cut)
			switch {
			case r.at.Sub(at) > lateAfter:
				late++
			case r.at.Add(how.work).Sub(at) > lateAfter && how.method == http.MethodGet:
				// It would have lasted until half a second after the consumer left.
				lasting++
				if r.done.Sub(at) > lateAfter {
					atWork++
				}
			}
		}
	}
	rec.say("%d requests reached a worker over half a second after their consumer left", late)
	rec.say("at %d of %d safe ones that would have lasted so long a worker was still at work half a second after", atWork, lasting)
	if late > 3 || 4*atWork > lasting {
		return exitBroken
	}
	return exitHeld
}

// sendAndLeave sends the requests of one consumer and leaves, or waits until all of
// its time is over.
func (how leaving) sendAndLeave(rec *record, address string, leaves bool) (ids []string, at time.Time) {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		rec.logf("consumer: %v", err)
		return nil, time.Now()
	}
	path, body := "/list/a", ""
	if how.method != http.MethodGet {
		path, body = "/book/a", "seat=1"
	}
	var lines []string
	if how.line != "" {
		lines = append(lines, how.line)
	}
	var text strings.Builder
	for range how.requests {
		id := attemptID()
		ids = append(ids, id)
		text.WriteString(requestText(how.method, path, id, leftTimeout, body, lines...))
	}
	rec.logf("consumer sends %s %s, %v", how.method, path, ids)
	_, _ = io.WriteString(c, text.String())
	if leaves {
		time.Sleep(leaveAfter)
	} else {
		time.Sleep(leftTimeout + 200*time.Millisecond)
	}
	if how.reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	at = time.Now()
	_ = c.Close()
	return ids, at
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
