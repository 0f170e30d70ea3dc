package ffretry

import "time"

//go:generate stringer -type=Action,Reason -linecomment -output=enum_string.go

// Action is what to do after a failed attempt.
type Action int

// Actions after a failed attempt.
const (
	ActionGiveUp     Action = iota // giveUp
	ActionRetry                    // retry
	ActionAskOutcome               // askOutcome
)

// Reason is the cause of a decision.
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

// Decision is the result of Policy.Decide for a failed attempt.
type Decision struct {
	Action Action
	Reason Reason
	// NotBefore is the earliest start of the next attempt; zero if there is none.
	NotBefore time.Time
	// OtherTarget is set if the next attempt must use a target that has not been tried.
	OtherTarget bool
}
