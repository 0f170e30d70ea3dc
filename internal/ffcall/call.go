// Package ffcall defines a call on its way from a caller to a target, its
// answer, and the refusals that tell whether it ran.
package ffcall

import (
	"net/http"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Call is one attempt to run a request of a customer.
type Call struct {
	// ID is unique for each attempt.
	ID string
	// Customer names the customer that authenticated.
	Customer string
	// Share is the customer's weight at the queue of a target.
	Share int
	// Route is the route that the request takes.
	Route *ffconfig.Route
	// Token binds a call that is not idempotent to one gate; empty when none was given.
	Token string
	// Deadline is the time after which nobody waits for the answer.
	Deadline time.Time
	// Method, Path, Header and Body are the request; Path holds the query too.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Version is the configuration that the accepting daemon used.
	Version ffconfig.Version
}

// Reply is the whole answer of a target.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// NextToken serves for the customer's next call of a route that is not idempotent.
	NextToken string
	// Load is what the daemon beside the target knew when it answered.
	Load Load
}

// Load describes the queue and slots beside one target.
type Load struct {
	VM          string
	Incarnation uint64
	FreeSlots   int
	QueuedShort int
	QueuedLong  int
	Version     ffconfig.Version
}
