// Package ffaudit records the changes that a daemon has applied or refused, such as
// configuration versions, membership, contracts and drains, in an in-memory audit trail.
package ffaudit

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the type of an audit event.
type Kind int

// Kinds of events.
const (
	KindUnknown         Kind = iota // unknown
	KindVersionApplied              // versionApplied
	KindVersionRefused              // versionRefused
	KindVersionConflict             // versionConflict
	KindContractChanged             // contractChanged
	KindMemberChanged               // memberChanged
	KindDrainStarted                // drainStarted
	KindDrainFinished               // drainFinished
	KindPauseDetected               // pauseDetected
	KindDaemonStarted               // daemonStarted
)

// MarshalText returns the name of k.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText sets k from its name.
func (k *Kind) UnmarshalText(text []byte) error {
	for known := KindUnknown; known <= KindDaemonStarted; known++ {
		if known.String() == string(text) {
			*k = known
			return nil
		}
	}
	return merry.Errorf("unknown audit event kind %q", text)
}

// Event is an entry of the audit trail: one change and the daemon that recorded it.
type Event struct {
	At      time.Time `json:"at"`
	Daemon  string    `json:"daemon"`
	Kind    Kind      `json:"kind"`
	Subject string    `json:"subject,omitempty"`
	Version string    `json:"version,omitempty"`
	Detail  string    `json:"detail,omitempty"`
}

// maxEvents is the maximum number of events that a daemon keeps in memory.
const maxEvents = 4096

// Trail is a ring buffer of the latest events that also logs each event. The zero
// value is ready to use and logs nothing. It is safe for concurrent use.
type Trail struct {
	// Daemon is the name of the daemon, set in every event.
	Daemon string
	// Log receives each event as a JSON line.
	Log zerolog.Logger

	mu     sync.Mutex
	events []Event
	next   int // index of the oldest event once events is full
}

// Record logs e and appends it, replacing the oldest event when the trail is full.
// It sets e.Daemon, and e.At to the current time if it is zero.
func (t *Trail) Record(e Event) {
	if e.At.IsZero() {
		e.At = time.Now()
	}
	e.Daemon = t.Daemon
	t.Log.Info().Str("audit", e.Kind.String()).Str("subject", e.Subject).Str("version", e.Version).Msg(e.Detail)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.events) < maxEvents {
		t.events = append(t.events, e)
		return
	}
	t.events[t.next] = e
	t.next = (t.next + 1) % maxEvents
}

// Events returns a copy of the stored events, oldest first.
func (t *Trail) Events() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := make([]Event, 0, len(t.events))
	events = append(events, t.events[t.next:]...)
	return append(events, t.events[:t.next]...)
}
