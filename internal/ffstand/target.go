package ffstand

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// defaultSlots is the number of slots of a target whose settings name none.
	defaultSlots = 10
	// crashStatus is the exit status of a target process that crashes on purpose.
	crashStatus = 3
)

// TargetSettings are the fixed properties of a target stand-in.
type TargetSettings struct {
	Name string
	// Slots is the number of calls that run at once.
	Slots int
	// Backlog is the number of calls that wait for a slot before others are shed.
	Backlog int
	// Work is the service time of calls that no entry of WorkByPath fits.
	Work time.Duration
	// WorkByPath gives service times by prefix of the path; the longest fits.
	WorkByPath map[string]time.Duration
	// ColdUntil is when the cold start ends, ColdWork what it adds to each call.
	ColdUntil time.Time
	ColdWork  time.Duration
	// Log receives executions as JSON lines.
	Log io.Writer
	// Exit ends the process in a crash; os.Exit when nil.
	Exit func(status int)
}

// TargetState is what tests change at run time.
type TargetState struct {
	// Draining tells that the target sheds every new call.
	Draining bool `json:"draining"`
	// SlowFactor multiplies service times; zero and one leave them as they are.
	SlowFactor float64 `json:"slowFactor"`
}

// Target is a stand-in for a target.
type Target struct {
	settings TargetSettings
	slots    slots
	record   record

	mu    sync.Mutex
	state TargetState
}

// NewTarget returns a target that takes calls.
func NewTarget(settings TargetSettings) *Target {
	if settings.Slots <= 0 {
		settings.Slots = defaultSlots
	}
	if settings.Exit == nil {
		settings.Exit = os.Exit
	}
	return &Target{
		settings: settings,
		slots:    newSlots(settings.Slots, max(0, settings.Backlog)),
		record:   record{log: settings.Log},
	}
}

// Executions returns every execution in the order in which they started.
func (t *Target) Executions() []Execution { return t.record.all() }

// State returns what tests have set.
func (t *Target) State() TargetState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// SetState replaces what tests set.
func (t *Target) SetState(s TargetState) error {
	if s.SlowFactor < 0 {
		return &Error{Op: "set state", Kind: KindInvalid, Err: merry.Errorf("slowFactor is %g, at least 0 is allowed", s.SlowFactor)}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = s
	return nil
}
