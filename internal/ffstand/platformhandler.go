package ffstand

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

const (
	// revisionHeader carries the revision of an answer of the platform.
	revisionHeader = "Platform-Revision"
	// maxWait bounds the time for which one watch waits.
	maxWait = time.Minute
)

// reading is what a reader gets at one moment.
type reading struct {
	revision uint64
	content  []byte
	// changesAt is when the reading changes by itself; zero for never.
	changesAt time.Time
}

// lookup finds what a reader gets from a state at a time.
type lookup func(state platformState, now time.Time) reading

// Handler returns the interface of the platform to its readers.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", func(w http.ResponseWriter, r *http.Request) {
		key := r.PathValue("key")
		p.serve(w, r, key, valueLookup(key))
	})
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		p.serve(w, r, "", vmLookup)
	})
	return mux
}

func valueLookup(key string) lookup {
	return func(state platformState, _ time.Time) reading {
		v := state.values[key]
		return reading{revision: v.revision, content: v.content}
	}
}

func vmLookup(state platformState, now time.Time) reading {
	list, changesAt := state.visibleList(now)
	return reading{revision: list.revision, content: list.content, changesAt: changesAt}
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request, key string, find lookup) {
	watch, err := parseWatch(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.admit() {
		http.Error(w, "rate exceeded", http.StatusTooManyRequests)
		return
	}
	p.delay(r)
	read, ok := p.await(w, r, watch, find)
	if !ok {
		return
	}
	p.answer(w, key, watch, read)
}

func (p *Platform) admit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meter.admit(p.time())
}

// delay holds a request back while the platform is slow.
func (p *Platform) delay(r *http.Request) {
	p.mu.Lock()
	fault := p.fault
	p.mu.Unlock()
	if fault.Kind != FaultSlow {
		return
	}
	sleep(r.Context(), time.Duration(fault.DelayMillis)*time.Millisecond)
}

// await returns what the reader gets; a watch waits for a change. It reports
// false after it has answered an outage or when the reader is gone.
func (p *Platform) await(w http.ResponseWriter, r *http.Request, watch watch, find lookup) (reading, bool) {
	end := time.Now().Add(watch.wait)
	state := p.view()
	for {
		moment := p.moment(state)
		switch moment.fault.Kind {
		case FaultOutage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return reading{}, false
		case FaultRefusing:
			panic(http.ErrAbortHandler)
		default:
		}
		read := find(moment.state, moment.now)
		left := time.Until(end)
		if !watch.set || read.revision != watch.after || left <= 0 {
			return read, true
		}
		if !read.changesAt.IsZero() {
			left = min(left, read.changesAt.Sub(moment.now))
		}
		p.wait(r, moment.changed, left)
		if r.Context().Err() != nil {
			return reading{}, false
		}
	}
}

// wait blocks until the platform changes, for at most limit, and counts the watch meanwhile.
func (p *Platform) wait(r *http.Request, changed <-chan struct{}, limit time.Duration) {
	p.countWait((*rateMeter).beginWait)
	defer p.countWait((*rateMeter).endWait)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (p *Platform) countWait(count func(*rateMeter, time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	count(&p.meter, p.time())
}

// view tells whether a request gets the old state of a flapping platform.
func (p *Platform) view() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	return p.requests%2 == 1
}

// moment is the platform as one request sees it.
type moment struct {
	now     time.Time
	fault   Fault
	state   platformState
	changed <-chan struct{}
}

func (p *Platform) moment(old bool) moment {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	m := moment{now: p.time(), fault: p.fault, state: p.current, changed: p.changed}
	if p.fault.Kind == FaultStale || (p.fault.Kind == FaultFlapping && old) {
		m.state = p.stale
	}
	return m
}

func (p *Platform) answer(w http.ResponseWriter, key string, watch watch, read reading) {
	w.Header().Set(revisionHeader, strconv.FormatUint(read.revision, 10))
	if watch.set && read.revision == watch.after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if read.revision == 0 {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	content := p.corrupt(key, read.content)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	n, _ := w.Write(content)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meter.counters.BytesSent += uint64(n)
}

// corrupt changes one byte of the content of the value that the fault names.
func (p *Platform) corrupt(key string, content []byte) []byte {
	p.mu.Lock()
	fault := p.fault
	p.mu.Unlock()
	if fault.Kind != FaultCorrupt || fault.Key != key || len(content) == 0 {
		return content
	}
	changed := bytes.Clone(content)
	changed[len(changed)/2] ^= 1
	return changed
}
