// Package ffcall defines calls to a target, their replies, and errors that state
// whether a call ran.
package ffcall

import (
	"net/http"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Call is one attempt to run a customer's request.
type Call struct {
	// ID is unique for each attempt.
	ID string
	// Customer is the name of the authenticated customer.
	Customer string
	// Share is the customer's weight in the fair queue of a target.
	Share int
	// Route is the route that the request matched.
	Route *ffconfig.Route
	// Token binds a non-idempotent call to one gate; empty if the caller sent none.
	Token string
	// Deadline is the time after which the caller no longer waits for the reply.
	Deadline time.Time
	// Method, Path, Header and Body are the HTTP request; Path includes the query.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Version is the configuration version that the accepting daemon used.
	Version ffconfig.Version
}

// Reply is the complete response of a target.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// NextToken is the token for the customer's next call on a non-idempotent route.
	NextToken string
	// Load is the load that the target's daemon reported with the response.
	Load Load
}

// Load is the state of the queue and the slots of one target.
type Load struct {
	VM          string
	Incarnation uint64
	FreeSlots   int
	QueuedShort int
	QueuedLong  int
	Version     ffconfig.Version
}
