// Package ffaudit keeps the trail of changes that a daemon has made or refused:
// configuration versions, membership, contracts and drains.
package ffaudit

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind tells what changed.
type Kind int

// Kinds of change.
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
	return merry.Errorf("%q is not a kind of change", text)
}

// Event is one change, with the daemon that made it.
type Event struct {
	At      time.Time `json:"at"`
	Daemon  string    `json:"daemon"`
	Kind    Kind      `json:"kind"`
	Subject string    `json:"subject,omitempty"`
	Version string    `json:"version,omitempty"`
	Detail  string    `json:"detail,omitempty"`
}

// capacity bounds the events that a daemon keeps in memory.
const capacity = 4096

// Trail keeps the latest events in order and writes each to the log. The zero
// value keeps events and logs nothing.
type Trail struct {
	// Daemon names the daemon in every event.
	Daemon string
	// Log receives each event as a JSON line.
	Log zerolog.Logger

	mu     sync.Mutex
	events []Event
	next   int
}

// Record adds an event; the oldest gives way when the trail is full.
func (t *Trail) Record(e Event) {
	if e.At.IsZero() {
		e.At = time.Now()
	}
	e.Daemon = t.Daemon
	t.Log.Info().Str("audit", e.Kind.String()).Str("subject", e.Subject).Str("version", e.Version).Msg(e.Detail)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.events) < capacity {
		t.events = append(t.events, e)
		return
	}
	t.events[t.next] = e
	t.next = (t.next + 1) % capacity
}

// Events returns the events that are kept, the oldest first.
func (t *Trail) Events() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := make([]Event, 0, len(t.events))
	events = append(events, t.events[t.next:]...)
	return append(events, t.events[:t.next]...)
}
