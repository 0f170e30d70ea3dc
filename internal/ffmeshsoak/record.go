package ffmeshsoak

import (
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

// Attempt is one request as its client saw it.
type Attempt struct {
	ID string
	VM int
	// Version is that of the route that only it added; 0 for the lasting routes.
	Version int
	// Once tells that the request may run once at most.
	Once        bool
	Sent, Ended time.Time
	// Status is 0 when no whole answer came.
	Status int
	Body   string
	// Signer is the target whose signature the answer bears.
	Signer string
}

// Happening is an event as it was carried out.
type Happening struct {
	Event
	Began, Ended time.Time
	// Target is the target that left; Version the version published.
	Target  string
	Version int
	// Failed tells that a planned stop did not end well.
	Failed string
}

// Record is everything that a soak saw.
type Record struct {
	Seed uint64
	// Faulty bounds the time in which faults were in force.
	Started, Faulty, Ended time.Time
	Attempts               []Attempt
	Happenings             []Happening
	// Runs are the runs of each request, by its ID.
	Runs map[string][]ffstandin.Run
	// Logs are the last lines of each daemon by the name of its VM, and by "late" those
	// of daemons that did not end in time, with their stacks.
	Logs map[string][]string
}

// recorder collects a record.
type recorder struct {
	mu  sync.Mutex
	rec Record
}

func (r *recorder) attempt(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Attempts = append(r.rec.Attempts, a)
}

func (r *recorder) happening(h Happening) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Happenings = append(r.rec.Happenings, h)
}
