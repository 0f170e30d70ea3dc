package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type attempt struct {
	id, digest, kind string
	machine          int
	length           int
	sent, ended      time.Time
	status           int
	err              error
	signed, whole    bool
	first            int
}

func bodyFor(id string, n int) []byte {
	b := make([]byte, n)
	s := sha256.Sum256([]byte(id))
	r := rand.New(rand.NewChaCha8(s))
	for i := 0; i+8 <= n; i += 8 {
		v := r.Uint64()
		for k := range 8 {
			b[i+k] = byte(v >> (8 * k))
		}
	}
	return b
}

func soak(rec *record, trouble bool) (bool, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	forS, _ := strconv.Atoi(os.Getenv("FOR"))
	if forS == 0 {
		forS = 60
	}
	kinds := strings.Split(os.Getenv("FAULTS"), ",")
	services := []string{"ledger", "ledger", "ledger", "photo", "photo", "photo"}
	f, err := newFleet(rec, services, []string{"zone-1", "zone-2", "zone-3"}, "")
	if err != nil {
		return false, err
	}
	defer f.close()
	rng := rand.New(rand.NewPCG(seed, 77))
	for _, m := range f.machines {
		m.worker.work = func(r *http.Request) time.Duration {
			ms, _ := strconv.Atoi(r.Header.Get("X-Work-Ms"))
			return time.Duration(ms) * time.Millisecond
		}
		if os.Getenv("MIS") != "" {
			modes := strings.Split(os.Getenv("MIS"), ",")
			m.worker.mis = func(r *http.Request) string {
				h := sha256.Sum256([]byte(m.worker.id + r.Header.Get("X-Attempt-Id")))
				if h[0] < 24 {
					return modes[int(h[1])%len(modes)]
				}
				return ""
			}
		}
		m.worker.answer = func(r *http.Request) []byte {
			n, _ := strconv.Atoi(r.Header.Get("X-Answer-Bytes"))
			return bodyFor("a"+r.Header.Get("X-Attempt-Id"), n)
		}
	}
	f.configure(7, []route{
		{name: "r-photo", prefix: "/upload/", kind: "upload", service: "photo", timeoutS: 1.2, targetS: 0.3, priority: 1},
		{name: "r-dep", prefix: "/unsafe/", kind: "unsafe", service: "ledger", timeoutS: 1, targetS: 0.25, priority: 1},
		{name: "r-tally", prefix: "/safe/", kind: "safe", service: "ledger", timeoutS: 0.8, targetS: 0.2, priority: 2},
	})
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var mu sync.Mutex
	var all []attempt
	var wg sync.WaitGroup
	for n := range 24 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(n)))
			mi := n % len(f.machines)
			for i := 0; ctx.Err() == nil; i++ {
				kind := []string{"safe", "unsafe", "upload"}[r.IntN(3)]
				size := 0
				switch kind {
				case "unsafe":
					size = r.IntN(30000)
				case "upload":
					size = []int{20000, 200000, 1_100_000, 1_600_000}[r.IntN(4)]
				}
				ans := 1500
				if r.IntN(8) == 0 {
					ans = 300_000 + r.IntN(300_000)
				}
				work := 10 + r.IntN(90)
				a := attempt{id: fmt.Sprintf("%03x%05x", n, i), kind: kind, machine: mi, length: size, sent: time.Now()}
				body := bodyFor(a.id, size)
				s := sha256.Sum256(body)
				a.digest = hex.EncodeToString(s[:8])
				dl := time.Second
				give := dl
				if r.IntN(10) == 0 && trouble {
					give = time.Duration(work+r.IntN(12)) * time.Millisecond
				}
				c2, cancel := context.WithTimeout(context.Background(), give)
				method := http.MethodPost
				var rd io.Reader = bytes.NewReader(body)
				if kind == "safe" {
					method, rd = http.MethodGet, nil
				} else if r.IntN(2) == 0 {
					rd = struct{ io.Reader }{rd}
				}
				req, _ := http.NewRequestWithContext(c2, method, "http://"+f.machines[mi].outbound+"/"+kind+"/x?i="+a.id, rd)
				req.Host = host
				req.Header.Set("X-Attempt-Id", a.id)
				req.Header.Set("X-Deadline-Ms", strconv.Itoa(int(dl.Milliseconds())))
				req.Header.Set("X-Work-Ms", strconv.Itoa(work))
				req.Header.Set("X-Answer-Bytes", strconv.Itoa(ans))
				cl := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
				resp, err := cl.Do(req)
				a.err = err
				if err == nil {
					a.status = resp.StatusCode
					a.signed = strings.HasSuffix(resp.Header.Get("X-Response-Signature"), "."+a.id)
					got, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					a.err = err
					a.whole = bytes.Equal(got, bodyFor("a"+a.id, ans))
				}
				cancel()
				a.ended = time.Now()
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				rec.note("%s %s at %s %d bytes, answer %d bytes: %d %v signed %t whole %t in %v", kind, a.id, f.machines[mi].name, size, ans, a.status, a.err, a.signed, a.whole, a.ended.Sub(a.sent).Round(time.Millisecond))
				time.Sleep(time.Duration(20+r.IntN(60)) * time.Millisecond)
			}
		})
	}
	type span struct {
		m        int
		from, to time.Time
		what     string
	}
	var spans []span
	end := time.Now().Add(time.Duration(forS) * time.Second)
	for time.Now().Before(end) {
		if !trouble {
			time.Sleep(time.Second)
			continue
		}
		i := rng.IntN(len(f.machines))
		m := f.machines[i]
		from := time.Now()
		k := kinds[rng.IntN(len(kinds))]
		switch k {
		case "crash":
			m.worker.crash()
			time.Sleep(time.Duration(500+rng.IntN(4000)) * time.Millisecond)
			if err := m.worker.start(); err != nil {
				return false, err
			}
		case "kill":
			f.signal(m, syscall.SIGKILL)
			<-m.ended
			time.Sleep(300 * time.Millisecond)
			if err := f.startDaemon(m); err != nil {
				return false, err
			}
			m.awaitReady(5 * time.Second)
		case "term":
			f.signal(m, syscall.SIGTERM)
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
		default:
			time.Sleep(time.Second)
		}
		spans = append(spans, span{i, from, time.Now(), k})
		rec.note("%s of %s over", k, m.name)
		time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
	}
	stop()
	wg.Wait()
	time.Sleep(3 * time.Second)
	runs := map[string][]run{}
	for _, m := range f.machines {
		for _, r := range m.worker.ran() {
			runs[r.id] = append(runs[r.id], r)
		}
	}
	bad := 0
	counts := map[string]int{}
	for _, a := range all {
		key := fmt.Sprintf("%s %d", a.kind, a.status)
		if a.err != nil {
			key += " err"
		}
		counts[key]++
		rs := runs[a.id]
		once := a.kind != "safe"
		switch {
		case once && len(rs) > 1:
			rec.say("TWICE %+v %+v", a, rs)
			bad++
		case once && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) && len(rs) > 0:
			rec.say("REFUSED %+v %+v", a, rs)
			bad++
		case a.status == 200 && a.err == nil && (!a.signed || !a.whole):
			rec.say("MIXED %+v", a)
			bad++
		case a.status == 200 && len(rs) == 0:
			rec.say("NOT RUN %+v", a)
			bad++
		}
		for _, r := range rs {
			if r.digest != a.digest {
				rec.say("UNASKED %+v %+v", a, r)
				bad++
			}
		}
		if a.status == 0 && a.ended.Sub(a.sent) < 900*time.Millisecond && a.err != nil && !strings.Contains(a.err.Error(), "deadline") {
			excused := false
			for _, s := range spans {
				if s.m == a.machine && (s.what == "kill") && a.ended.After(s.from) && a.sent.Before(s.to) {
					excused = true
				}
			}
			if !excused && !strings.Contains(a.err.Error(), "refused") {
				rec.say("ENDED %+v runs %d", a, len(rs))
			}
		}
	}
	rec.say("%v", counts)
	for _, m := range f.machines {
		rec.say("%s %s", m.name, metric(fmt.Sprintf("%s:%d", m.host, f.ports[portLast]), "fireflyfall_gate_running", "fireflyfall_gate_queued", "go_goroutines", "process_open_fds"))
	}
	return bad > 0, nil
}

func metric(address string, names ...string) string {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	s := bufio.NewScanner(c)
	var out []string
	for s.Scan() {
		for _, n := range names {
			if strings.HasPrefix(s.Text(), n+" ") {
				out = append(out, s.Text())
			}
		}
	}
	return strings.Join(out, "; ")
}
