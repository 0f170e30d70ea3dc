package ffretry

import "time"

//go:generate stringer -type=Action,Reason -linecomment -output=enum_string.go

// Action tells what to do after a failed attempt.
type Action int

// Actions after a failed attempt.
const (
	ActionGiveUp     Action = iota // giveUp
	ActionRetry                    // retry
	ActionAskOutcome               // askOutcome
)

// Reason tells what led to a decision.
type Reason int

// Reasons of a decision.
const (
	ReasonNone      Reason = iota // none
	ReasonDeadline                // deadline
	ReasonOutcome                 // outcome
	ReasonRefusal                 // refusal
	ReasonBudget                  // budget
	ReasonAttempts                // attempts
	ReasonTransient               // transient
)

// Decision is what to do after a failed attempt.
type Decision struct {
	Action Action
	Reason Reason
	// At is the time before which the next attempt must not start; zero when the call ends.
	At time.Time
	// Elsewhere tells that the next attempt must go to a target that has not been tried.
	Elsewhere bool
}
