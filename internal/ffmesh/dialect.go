package ffmesh

import (
	"net/http"
	"time"
)

// Verdict classifies a target's response by its status and headers.
type Verdict int

// Verdicts: the response to the call, a rejection before execution, a rejection
// because the call was meant for another target, a response to another attempt, and
// one that is not the target's own or was altered on the way.
const (
	VerdictAnswer       Verdict = iota // answer
	VerdictNotRun                      // notRun
	VerdictMisdirected                 // misdirected
	VerdictOtherAttempt                // foreign
	VerdictInvalid                     // spoiled
)

// Dialect reads and writes the headers that clients and targets use.
type Dialect interface {
	// Attempt returns the client's ID of the attempt and the time that it waits for
	// the response; "" and 0 when it sent none.
	Attempt(h http.Header) (id string, wait time.Duration)
	// Prepare sets the headers that a target expects with c, replacing any that the
	// client set itself. left is the time until the deadline of c.
	Prepare(h http.Header, c *Call, left time.Duration)
	// Identified reports whether a response names the attempt that it answers.
	Identified(h http.Header) bool
	// Classify classifies a response to c.
	Classify(c *Call, status int, h http.Header) Verdict
	// Notice returns what the target says of itself in a response. With an error, the
	// invalid part is left out.
	Notice(h http.Header) (Notice, error)
}
