package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the slow consumer.
const (
	slowOutstanding = 4
	slowAnswer      = 30000
	slowRate        = 60_000
	slowDeadline    = 2500 * time.Millisecond
)

// slowStop stops a daemon while a consumer that sent several safe requests reads its answers
// slowly.
func slowStop(rec *record) int {
	body := strings.Repeat("0123456789", slowAnswer/10)
	g, err := newRig(rec, []vmSpec{{"desk", 9}, {"desk", 9}, {"desk", 9}}, func(*worker, *request) answer {
		return answer{work: 20 * time.Millisecond, body: body}
	})
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	defer g.close()
	g.putConfig(7, []route{{"list", "safe", "desk", 2.5, 2}})
	if err := g.startAll(); err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	v := g.vms[0]
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// As over a network with frames of 1,500 bytes.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
		})
	}}
	c, err := d.Dial("tcp4", v.callers())
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	defer c.Close()
	type sent struct {
		id string
		at time.Time
	}
	var mu sync.Mutex
	var all []sent
	stopAt := time.Time{}
	send := func() {
		s := sent{attemptID(), time.Now()}
		mu.Lock()
		all = append(all, s)
		mu.Unlock()
		rec.logf("sent %s", s.id)
		_, _ = io.WriteString(c, requestText("GET", "/list/a", s.id, slowDeadline, ""))
	}
	for range slowOutstanding {
		send()
	}
	timer := time.AfterFunc(3*time.Second, func() {
		mu.Lock()
		stopAt = time.Now()
		mu.Unlock()
		if g.trouble {
			v.signal(syscall.SIGTERM)
		}
	})
	defer timer.Stop()
	r := bufio.NewReaderSize(&slowReader{r: c, rate: slowRate}, 4096)
	answered, closing := 0, false
	var readErr error
	for answered < len(all) {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			readErr = err
			break
		}
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			readErr = fmt.Errorf("answer to %s ends after %d of %d bytes: %w", all[answered].id, len(b), resp.ContentLength, err)
			break
		}
		rec.logf("answer %d to %s after %v, %d bytes, closes %v", resp.StatusCode, all[answered].id, time.Since(all[answered].at).Round(time.Millisecond), len(b), resp.Close)
		answered++
		closing = closing || resp.Close
		if closing {
			break
		}
		mu.Lock()
		stopped := !stopAt.IsZero()
		over := stopped && time.Since(stopAt) > 5*time.Second
		// A daemon that misses two readiness checks gets no new work.
		send2 := !stopped || time.Since(stopAt) < 1500*time.Millisecond
		mu.Unlock()
		if over {
			break
		}
		if send2 {
			send()
		}
	}
	ended := time.Now()
	rec.logf("connection ended: answered %d of %d, announced %v, %v", answered, len(all), closing, readErr)
	time.Sleep(200 * time.Millisecond)
	broken := 0
	for _, s := range all[answered:] {
		runs := g.runsOf(s.id)
		if closing || len(runs) == 0 || ended.Sub(s.at) > slowDeadline {
			rec.logf("not counted: %s, sent %v before the end, %d runs", s.id, ended.Sub(s.at).Round(time.Millisecond), len(runs))
			continue
		}
		broken++
		rec.say("%s: run by worker, sent %v before the connection ended, no complete answer", s.id, ended.Sub(s.at).Round(time.Millisecond))
	}
	rec.say("answered %d of %d; lost %d", answered, len(all), broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// slowReader reads at most rate bytes a second.
type slowReader struct {
	r    io.Reader
	rate int
	at   time.Time
}

func (s *slowReader) Read(p []byte) (int, error) {
	if wait := time.Until(s.at); wait > 0 {
		time.Sleep(wait)
	}
	n, err := s.r.Read(p[:min(len(p), 2048)])
	now := time.Now()
	if s.at.Before(now) {
		s.at = now
	}
	s.at = s.at.Add(time.Duration(float64(n) / float64(s.rate) * float64(time.Second)))
	return n, err
}
