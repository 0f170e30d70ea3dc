package ffclient

import (
	"net/http"
	"strconv"
	"time"
)

// Outcome reports whether a call ran at its target.
type Outcome string

// Outcomes of a call.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// Answer is the response of a daemon.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Outcome Outcome
	// Reason is why no target answered the call; empty when one did.
	Reason string
	CallID string
	// NextToken is the token for the next call of a route that is not idempotent.
	NextToken string
	// Version is the version of the configuration that served the call.
	Version string
	// RetryAt is the earliest useful time for a retry; zero when unknown.
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
