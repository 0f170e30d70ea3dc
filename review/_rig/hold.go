package main

import (
	"net/http"
	"os"
	"strconv"
	"time"
)

func hold(rec *record, _ bool) (bool, error) {
	f, err := newFleet(rec, []string{"ledger", "ledger", "photo", "photo"}, []string{"zone-1", "zone-2"}, "")
	if err != nil {
		return false, err
	}
	defer f.close()
	for _, m := range f.machines {
		m.worker.work = func(r *http.Request) time.Duration {
			ms, _ := strconv.Atoi(r.Header.Get("X-Work-Ms"))
			return time.Duration(ms) * time.Millisecond
		}
	}
	f.configure(7, []route{
		{name: "r-photo", prefix: "/upload/", kind: "upload", service: "photo", timeoutS: 1.2, targetS: 0.3, priority: 1},
		{name: "r-dep", prefix: "/unsafe/", kind: "unsafe", service: "ledger", timeoutS: 1, targetS: 0.25, priority: 1},
		{name: "r-tally", prefix: "/safe/", kind: "safe", service: "ledger", timeoutS: 2, targetS: 0.2, priority: 2},
	})
	if err := f.startAll(); err != nil {
		return false, err
	}
	for _, m := range f.machines {
		rec.say("%s %s", m.outbound, m.settings)
	}
	for {
		time.Sleep(time.Second)
		if _, err := os.Stat("/tmp/r/holdstop"); err == nil {
			return false, nil
		}
	}
}
