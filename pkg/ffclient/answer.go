package ffclient

import (
	"net/http"
	"strconv"
	"time"
)

// Outcome tells whether a call ran at its target.
type Outcome string

// Outcomes of a call.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// Answer is what a daemon answered.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Outcome Outcome
	// Reason tells why the call got no answer of a target; empty when it got one.
	Reason string
	CallID string
	// NextToken serves for the next call of a route that is not idempotent.
	NextToken string
	// Version is the configuration that the call was served from.
	Version string
	// RetryAt is the time from which a new attempt makes sense; zero when unknown.
	RetryAt time.Time
}

func answerOf(r *http.Response, body []byte, now time.Time) *Answer {
	a := &Answer{
		Status:    r.StatusCode,
		Header:    r.Header,
		Body:      body,
		Outcome:   Outcome(r.Header.Get("Fireflyfall-Outcome")),
		Reason:    r.Header.Get("Fireflyfall-Reason"),
		CallID:    r.Header.Get("Fireflyfall-Call-Id"),
		NextToken: r.Header.Get("Fireflyfall-Next-Token"),
		Version:   r.Header.Get("Fireflyfall-Version"),
	}
	if a.Outcome != OutcomeRan && a.Outcome != OutcomeNotRun {
		a.Outcome = OutcomeUnknown
	}
	if seconds, err := strconv.Atoi(r.Header.Get("Retry-After")); err == nil {
		a.RetryAt = now.Add(time.Duration(seconds) * time.Second)
	}
	return a
}
