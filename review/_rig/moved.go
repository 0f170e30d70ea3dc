package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// Figures of the disruption hup: the largest share and gap_s of the site file.
const (
	hupShare = 0.6
	hupGap   = 2 * time.Second
)

// moved gives the store another address in all settings files, with a SIGHUP for each, and
// changes the configuration after that.
func moved(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, []string{"ledger", "ledger", "ledger", "photo-desk", "photo-desk"}, []string{"zone-1", "zone-2", "zone-3"}, "")
	if err != nil {
		return false, err
	}
	defer f.close()
	for _, m := range f.machines {
		m.worker.work = func(*http.Request) time.Duration { return 20 * time.Millisecond }
	}
	tally := route{name: "r-tally", prefix: "/tally/", kind: "safe", service: "ledger", timeoutS: 0.8, targetS: 0.2, priority: 2}
	old := route{name: "r-old", prefix: "/old/", kind: "unsafe", service: "ledger", timeoutS: 0.8, targetS: 0.2, priority: 2}
	added := route{name: "r-new", prefix: "/new/", kind: "unsafe", service: "photo-desk", timeoutS: 0.8, targetS: 0.2, priority: 2}
	f.configure(7, []route{tally, old})
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		// The store answers at both addresses until all settings have changed.
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		server := &http.Server{Handler: f.store}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		for i, m := range f.machines {
			if i == int(hupShare*float64(len(f.machines))) {
				time.Sleep(hupGap)
			}
			b, err := os.ReadFile(m.settings)
			if err != nil {
				return false, err
			}
			changed := strings.ReplaceAll(string(b), "platform.address="+f.address, "platform.address="+l.Addr().String())
			if err := os.WriteFile(m.settings, []byte(changed), 0o600); err != nil {
				return false, err
			}
			rec.note("settings of %s: the store is at another address", m.name)
			f.signal(m, syscall.SIGHUP)
		}
		time.Sleep(10 * time.Second)
		rec.note("the store no longer answers at its old address")
		_ = f.server.Close()
		time.Sleep(10 * time.Second)
	}
	f.configure(9, []route{tally, added})
	time.Sleep(2500 * time.Millisecond) // configApplyS is 2.
	var dropped, refused int
	for i := range 50 {
		m := f.machines[i%len(f.machines)]
		if status := probe(rec, m, "/old/x", fmt.Sprintf("a%06x", i)); status == http.StatusOK {
			dropped++
		}
		if status := probe(rec, m, "/new/x", fmt.Sprintf("b%06x", i)); status == http.StatusNotFound {
			refused++
		}
		time.Sleep(100 * time.Millisecond)
	}
	rec.say("later than configApplyS after the acknowledgement: %d of 50 requests on a dropped route were run, %d of 50 on the new route were refused with 404", dropped, refused)
	return dropped+refused > 0, nil
}

// probe sends an unsafe request and returns the status of its answer.
func probe(rec *record, m *machine, path, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.outbound+path, nil)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "800")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		rec.note("%s %s at %s: %v", path, id, m.name, err)
		return 0
	}
	_ = resp.Body.Close()
	rec.note("%s %s at %s: %d", path, id, m.name, resp.StatusCode)
	return resp.StatusCode
}
