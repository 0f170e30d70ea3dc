package ffmesh

import (
	"context"
	"io"
	"net/http"
	"time"
)

//go:generate stringer -type=Outcome,Reason,Verdict -linecomment -output=enum_string.go

// Outcome tells whether a call ran at a target.
type Outcome int

// Outcomes. The zero value promises nothing.
const (
	OutcomeUnknown Outcome = iota // unknown
	OutcomeNotRun                 // notRun
	OutcomeRan                    // ran
)

// Reason tells why a call has no answer of a target.
type Reason int

// Reasons, at the gate or on the way to it.
const (
	ReasonNone      Reason = iota // none
	ReasonBusy                    // busy
	ReasonDeadline                // deadline
	ReasonDraining                // draining
	ReasonNoTarget                // noTarget
	ReasonShed                    // shed
	ReasonMisdirect               // misdirected
	ReasonConnect                 // connect
	ReasonBroken                  // broken
	ReasonSpoiled                 // spoiled
	ReasonCanceled                // canceled
	ReasonLeaving                 // leaving
	ReasonSilent                  // silent
	ReasonIntake                  // intake
)

// Reply is what became of a call.
type Reply struct {
	Outcome Outcome
	Reason  Reason
	// Status is 0 when no target answered.
	Status int
	Header http.Header
	// Body is the answer's body, or its beginning when Stream is set.
	Body []byte
	// Stream delivers the rest of a long body. It ends with io.EOF only when the
	// body is whole.
	Stream io.ReadCloser
	// Arrived tells that a target got the call, whether it ran or not.
	Arrived bool
	// RetryIn is when to come back to this gate after a refusal.
	RetryIn time.Duration
	Load    Load
}

// Load is what a gate knows of its target at one moment. Its fields travel in
// their order, without names.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Running int
	Queued  int
	Slots   int
	// Typical is the mean service time.
	Typical time.Duration
	// Intake is the time that long bodies on their way to this VM still take, and
	// Link what its link carries, in bytes a second; 0 when it is not known.
	Intake time.Duration
	Link   int64
	// Failing is the recent share of calls that the target failed, 0 to 1.
	Failing float32
	// Closed tells that the gate takes no calls.
	Closed bool
}

// Gate runs calls at one target.
type Gate interface {
	Do(ctx context.Context, c *Call) *Reply
}
