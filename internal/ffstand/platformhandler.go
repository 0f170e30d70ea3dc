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
	// maxWait is the maximum time for which one watch waits.
	maxWait = time.Minute
)

// reading is the content that a reader receives at one moment.
type reading struct {
	revision uint64
	content  []byte
	// changesAt is when a hidden VM list becomes visible; zero when there is none.
	changesAt time.Time
}

// lookup returns what a reader receives from a state at a time.
type lookup func(state platformState, now time.Time) reading

// Handler returns the HTTP handler for readers of the platform.
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

// admit counts a request and reports whether it is within the rate limit.
func (p *Platform) admit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meter.admit(p.time())
}

// delay delays a request while the platform is slow.
func (p *Platform) delay(r *http.Request) {
	p.mu.Lock()
	fault := p.fault
	p.mu.Unlock()
	if fault.Kind != FaultSlow {
		return
	}
	sleep(r.Context(), time.Duration(fault.DelayMillis)*time.Millisecond)
}

// await returns what the reader receives; a watch waits for a change. It returns
// false when it has answered with an outage or the reader has disconnected, and
// aborts the connection of a refusing platform.
func (p *Platform) await(w http.ResponseWriter, r *http.Request, watch watch, find lookup) (reading, bool) {
	end := time.Now().Add(watch.wait)
	old := p.nextIsOld()
	for {
		seen := p.snapshot(old)
		switch seen.fault.Kind {
		case FaultOutage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return reading{}, false
		case FaultRefusing:
			panic(http.ErrAbortHandler)
		default:
		}
		read := find(seen.state, seen.now)
		left := time.Until(end)
		if !watch.set || read.revision != watch.after || left <= 0 {
			return read, true
		}
		if !read.changesAt.IsZero() {
			left = min(left, read.changesAt.Sub(seen.now))
		}
		p.wait(r, seen.changed, left)
		if r.Context().Err() != nil {
			return reading{}, false
		}
	}
}

// wait blocks until the platform changes, for at most limit, and counts the
// watch as waiting meanwhile.
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

// nextIsOld counts a request and reports whether it gets the old state of a
// flapping platform, which is every second one from the first.
func (p *Platform) nextIsOld() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	return p.requests%2 == 1
}

// snapshot is the time, fault and state of the platform for one request; changed
// is closed at the next change.
type snapshot struct {
	now     time.Time
	fault   Fault
	state   platformState
	changed <-chan struct{}
}

// snapshot returns the current snapshot; old selects the old state of a flapping
// platform.
func (p *Platform) snapshot(old bool) snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	m := snapshot{now: p.time(), fault: p.fault, state: p.current, changed: p.changed}
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

// corrupt returns content with one bit flipped if the fault names key.
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
