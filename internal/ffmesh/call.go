package ffmesh

import (
	"net/http"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffbody"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// Call is one request that the entry sends to a target.
type Call struct {
	// ID identifies the attempt. It is the client's, or generated when it sent none.
	ID     string
	Method string
	// URI is the request target as the client sent it.
	URI    string
	Host   string
	Header http.Header
	// Body is the complete body, unless Stream is set.
	Body []byte
	// Stream is a body too long to be buffered.
	Stream *ffbody.Stream
	// Length is the length of the body in bytes; -1 when unknown.
	Length int64
	// Origin is the service that runs on the VM whose entry received the request.
	Origin  string
	Service string
	// Target is the ID of the only target that may run the call; empty allows any.
	Target   string
	Kind     ffroute.Kind
	Priority int
	// Class tells the calls of one route from those of most others.
	Class uint16
	// Deadline is when the client or the route stops waiting for the response.
	Deadline time.Time
	// Objective is the time by which the response should arrive, from the latency
	// objective of the route.
	Objective time.Time
	// Received is when the entry had read the request's headers.
	Received time.Time
	// TargetLimit is the number of calls per second that Target takes according to the
	// last answer that the entry passed on; 0 if it named none.
	TargetLimit float64
	// RetryShare is the probability, 0 to 1, that a run of the call counts as a retry: 1
	// if the request may have arrived at another target, and otherwise that of the run
	// that made it.
	RetryShare float64
	// OnSilence is called when the gate's VM does not acknowledge the call in time. If
	// it is set, the body is sent together with the headers; if nil, only after the
	// gate has asked for it (100 Continue).
	OnSilence func()
	// OnWait is called regularly while the call waits for a slot, in the goroutine that
	// runs it; nil if nobody needs to know.
	OnWait func()
}

// longBody is the length in bytes from which a body takes a notable time to
// transfer on a slow link.
const longBody = 16 << 10

// BodyLength returns the length of the body in bytes, or MaxBufferedBody when unknown.
func (c *Call) BodyLength() int64 {
	if c.Length < 0 {
		return MaxBufferedBody
	}
	return max(c.Length, int64(len(c.Body)))
}

// HasStreamedBody reports whether the body is too long to be buffered, so that it can be sent
// to one target only.
func (c *Call) HasStreamedBody() bool { return c.BodyLength() >= MaxBufferedBody }

// HasLongBody reports whether the body takes a notable time to transfer on a slow link.
func (c *Call) HasLongBody() bool { return c.BodyLength() >= longBody }
