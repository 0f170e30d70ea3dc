package ffdistribution

import (
	"sync"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

const (
	// maxRumours bounds the evidence that a daemon passes on.
	maxRumours = 1024
	// rumourRounds is the number of messages on which each piece of evidence travels.
	rumourRounds = 24
	// evidencePerMessage bounds the evidence on one message.
	evidencePerMessage = 16
)

// rumours is evidence that is new here and still travels on exchanges, the
// latest first. The zero value is empty.
type rumours struct {
	mu  sync.Mutex
	all []rumour
}

type rumour struct {
	evidence ffmember.Evidence
	rounds   int
}

func (r *rumours) add(fresh []ffmember.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range fresh {
		r.all = append([]rumour{{evidence: e, rounds: rumourRounds}}, r.all...)
	}
	r.all = r.all[:min(len(r.all), maxRumours)]
}

// clear stops all travel: a peer was met that knows as much. Whoever does not is
// found by the digest of its evidence.
func (r *rumours) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = nil
}

// take returns what the next message carries.
func (r *rumours) take() []ffmember.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := min(len(r.all), evidencePerMessage)
	taken := make([]ffmember.Evidence, count)
	var again []rumour
	for i, m := range r.all[:count] {
		taken[i] = m.evidence
		if m.rounds--; m.rounds > 0 {
			again = append(again, m)
		}
	}
	r.all = append(append([]rumour{}, r.all[count:]...), again...)
	return taken
}
