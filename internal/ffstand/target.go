package ffstand

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// defaultSlots is the number of slots when none is set.
	defaultSlots = 10
	// crashStatus is the exit status of a target process that crashes on purpose.
	crashStatus = 3
)

// TargetSettings configure a Target.
type TargetSettings struct {
	Name string
	// Slots is the number of calls that run concurrently; 10 when not positive.
	Slots int
	// Backlog is the number of calls that may wait for a slot; further ones are shed.
	Backlog int
	// ServiceTime is the service time of calls that no entry of ServiceTimeByPath matches.
	ServiceTime time.Duration
	// ServiceTimeByPath holds service times by path prefix; the longest match applies.
	ServiceTimeByPath map[string]time.Duration
	// ColdUntil is when the cold start ends; until then, ColdExtraTime is added to the
	// service time of each call.
	ColdUntil     time.Time
	ColdExtraTime time.Duration
	// Log receives executions as JSON lines.
	Log io.Writer
	// Exit ends the process in a crash; os.Exit when nil.
	Exit func(status int)
}

// TargetState is the behaviour of a target that tests change at run time.
type TargetState struct {
	// Draining makes the target shed every new call and report itself unhealthy.
	Draining bool `json:"draining"`
	// SlowFactor multiplies service times; zero and one leave them as they are.
	SlowFactor float64 `json:"slowFactor"`
}

// Target is a test double of a target.
type Target struct {
	settings TargetSettings
	slots    slots
	record   recorder

	mu    sync.Mutex
	state TargetState
}

// NewTarget returns a target that accepts calls.
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
		record:   recorder{log: settings.Log},
	}
}

// Executions returns every execution in the order in which they started.
func (t *Target) Executions() []Execution { return t.record.all() }

// State returns the state that tests have set.
func (t *Target) State() TargetState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// SetState replaces the state. A negative SlowFactor is an error.
func (t *Target) SetState(s TargetState) error {
	if s.SlowFactor < 0 {
		return &Error{Op: "set state", Kind: KindInvalid, Err: merry.Errorf("slowFactor is %g, must be at least 0", s.SlowFactor)}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = s
	return nil
}
