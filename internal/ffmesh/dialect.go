package ffmesh

import (
	"net/http"
	"time"
)

// Verdict is what the head of a target's answer says.
type Verdict int

// Verdicts.
const (
	VerdictAnswer    Verdict = iota // answer
	VerdictNotRun                   // notRun
	VerdictMisdirect                // misdirected
	VerdictForeign                  // foreign
	VerdictSpoiled                  // spoiled
)

// Dialect translates the headers that clients and targets speak.
type Dialect interface {
	// Attempt returns the ID of a client's attempt and the time that the client
	// waits; 0 when it does not say.
	Attempt(h http.Header) (id string, wait time.Duration)
	// Prepare sets the headers that a target expects with c and replaces what the
	// client may have set in their place.
	Prepare(h http.Header, c *Call, left time.Duration)
	// Judge tells what an answer to c is.
	Judge(c *Call, status int, h http.Header) Verdict
}
