package ffmesh

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

//go:generate stringer -type=Outcome,Reason,Verdict -linecomment -output=enum_string.go

// Outcome states whether a call ran at a target.
type Outcome int

// Outcomes. With the zero value the call may or may not have run.
const (
	OutcomeUnknown Outcome = iota // unknown
	OutcomeNotRun                 // notRun
	OutcomeRan                    // ran
)

// Reason states why a call has no response from a target.
type Reason int

// Reasons, at the gate or on the way to it. ReasonShed is a rejection by the target
// itself, ReasonIntake a body that this VM's link could not receive in time, and
// ReasonEvacuated an order of the operators that the data centre gets no calls, and
// ReasonBudget a retry whose run would make calls beyond the retry budget.
const (
	ReasonNone          Reason = iota // none
	ReasonBusy                        // busy
	ReasonDeadline                    // deadline
	ReasonDraining                    // draining
	ReasonNoTarget                    // noTarget
	ReasonShed                        // shed
	ReasonMisdirected                 // misdirected
	ReasonConnect                     // connect
	ReasonBroken                      // broken
	ReasonInvalidAnswer               // spoiled
	ReasonCanceled                    // canceled
	ReasonLeaving                     // leaving
	ReasonSilent                      // silent
	ReasonIntake                      // intake
	ReasonEvacuated                   // evacuated
	ReasonBudget                      // budget
)

// Reply is the result of a call.
type Reply struct {
	Outcome Outcome
	Reason  Reason
	// Status is the HTTP status; 0 when no target responded.
	Status int
	Header http.Header
	// Body is the response body, or its beginning when Stream is set.
	Body []byte
	// Stream is the rest of a long body. It ends with io.EOF only when the body is
	// complete.
	Stream io.ReadCloser
	// Length is the length of a long body in bytes; 0 when it has no known one.
	Length int64
	// Arrived reports whether the call may have reached a target, run or not.
	Arrived bool
	// RetryIn is the time after which to retry at this gate after a refusal.
	RetryIn time.Duration
	Load    Load
}

// Close releases what a reply holds that is not used, or not any more. r may be nil.
func (r *Reply) Close() {
	if r != nil && r.Stream != nil {
		_ = r.Stream.Close()
	}
}

// SetContentLength sets the Content-Length of a response with the body of r, if it is known.
func (r *Reply) SetContentLength(h http.Header) {
	switch {
	case r.Stream == nil:
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	case r.Length > 0:
		h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
}

// CopyBody writes the whole body of r to w. The rest of a long body is read only once.
func (r *Reply) CopyBody(w io.Writer) error {
	if _, err := w.Write(r.Body); err != nil || r.Stream == nil {
		return err
	}
	_, err := io.Copy(w, r.Stream)
	return err
}

// ReplacedTarget reports whether another target than the one meant has answered.
func (r *Reply) ReplacedTarget() bool { return r.Arrived && r.Reason == ReasonMisdirected }

// Load is the state of a gate and its target at one moment. Its fields are encoded
// by position, without names.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Running int
	Queued  int
	Slots   int
	// Typical is the mean service time; 0 when none was measured.
	Typical time.Duration
	// Intake is the expected time to receive the long bodies that this VM is
	// receiving or keeps waiting. Link is the bandwidth of the VM's network link in
	// bytes per second; 0 when unknown.
	Intake time.Duration
	Link   int64
	// Failing is the recent share of calls that failed at the target, 0 to 1.
	Failing float32
	// Closed reports whether the gate refuses all calls.
	Closed bool
	// Limit is the number of calls per second that the target takes now; 0 if there is no
	// limit. Paced is how long a call of the lowest rank would wait for its turn under it.
	Limit float32
	Paced time.Duration
}

// Gate runs calls at one target.
type Gate interface {
	Do(ctx context.Context, c *Call) *Reply
}
