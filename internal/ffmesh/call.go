package ffmesh

import (
	"io"
	"net/http"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// Call is one request on its way from the entry to a target.
type Call struct {
	// ID is the client's own name of this attempt.
	ID     string
	Method string
	// URI is the request target as the client wrote it.
	URI    string
	Host   string
	Header http.Header
	// Body is the whole body, unless Stream is set.
	Body []byte
	// Stream delivers a body that is not held whole; it can be sent only once.
	Stream io.Reader
	// Length is the length of the body in bytes; -1 when it is not known.
	Length int64
	// Origin is the service of the VM on which the request began.
	Origin  string
	Service string
	// Target is the ID of the target that alone may run the call.
	Target   string
	Kind     ffroute.Kind
	Priority int
	// Deadline is the time after which nobody waits for the answer.
	Deadline time.Time
	// Objective is the time until which an answer is worth most.
	Objective time.Time
	// Received is when the entry had read the head of the request.
	Received time.Time
	// Silent is called when the gate's VM shows no sign in time that it has got the
	// call. With it the call goes out whole at once, without it only after consent.
	Silent func()
}

// longBody is the length from which a body counts as long on a slow link, in bytes.
const longBody = 16 << 10

// BodyLength returns the length of the body in bytes; that of the longest held
// body when it is not known.
func (c *Call) BodyLength() int64 {
	if c.Length < 0 {
		return HeldBody
	}
	return max(c.Length, int64(len(c.Body)))
}

// Long reports whether the body takes a notable time on a slow link.
func (c *Call) Long() bool { return c.BodyLength() >= longBody }
