package ffmeshsoak

import (
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

// Attempt is one request as seen by its client.
type Attempt struct {
	ID string
	VM int
	// Version is the configuration version whose own route was requested; 0 for the
	// permanent routes.
	Version int
	// Once is set if the request must be executed at most once.
	Once        bool
	Sent, Ended time.Time
	// Sum is the checksum of the body that was sent.
	Sum uint64
	// Left is set if the client meant to leave before the response.
	Left bool
	// Status is the status code, or 0 without a complete response.
	Status int
	Body   string
	// Signer is the ID of the target that signed the response; empty without a valid signature.
	Signer string
	// Limited and Leaving report whether the target named a limit in the response, and
	// whether it said that it leaves.
	Limited, Leaving bool
}

// ExecutedEvent is an executed event.
type ExecutedEvent struct {
	Event
	Began, Ended time.Time
	// Target is the ID of the target that left or answered wrongly; Version is the published version.
	Target  string
	Version int
	// Failed is the error of the event, such as a planned stop that timed out; empty if it
	// succeeded.
	Failed string
}

// TargetRecord is what is known of a target.
type TargetRecord struct {
	VM int
	// Overrun is the greatest number of requests by which it got more in a second than it
	// takes while it is cold.
	Overrun int
}

// Record is the complete record of a soak.
type Record struct {
	Seed uint64
	// Faulty is the time when the last fault had ended.
	Started, Faulty, Ended time.Time
	Attempts               []Attempt
	Happenings             []ExecutedEvent
	// Runs lists the executions at targets by request ID.
	Runs map[string][]ffstandin.Run
	// Targets lists the targets by ID.
	Targets map[string]TargetRecord
	// Logs holds the last log lines of each daemon by VM name and, under "late", those of
	// daemons that did not stop in time, with their goroutine stacks.
	Logs map[string][]string
}

// recorder collects a Record from several goroutines.
type recorder struct {
	mu  sync.Mutex
	rec Record
}

func (r *recorder) addAttempt(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Attempts = append(r.rec.Attempts, a)
}

func (r *recorder) addHappening(h ExecutedEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Happenings = append(r.rec.Happenings, h)
}
