package ffmeshpeer

import (
	"encoding/base64"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// Headers of calls between daemons.
const (
	callHeader  = "Fireflyfall-Call"
	replyHeader = "Fireflyfall-Reply"
	// limitHeader holds the call's TargetLimit, unless that is 0.
	limitHeader = "Fireflyfall-Limit"
	// retryShareHeader holds the call's RetryShare, unless that is 0.
	retryShareHeader = "Fireflyfall-Retry-Share"
)

// encode returns head as a header value: CBOR in base64.
func encode(head any) (string, error) {
	b, err := cbor.Marshal(head)
	return base64.RawStdEncoding.EncodeToString(b), err
}

// decode decodes a header value into head.
func decode(value string, head any) error {
	b, err := base64.RawStdEncoding.DecodeString(value)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(b, head)
}

// callHead holds what a gate needs to know about a call beyond the HTTP request.
// Left and Objective are the times remaining when it was sent, Elapsed the time
// since the request was received.
type callHead struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Origin   string
	Service  string
	Target   string
	Kind     ffroute.Kind
	Priority int
	Class    uint16
	// Length is the length of the body in bytes; -1 when unknown.
	Length    int64
	Left      time.Duration
	Objective time.Duration
	Elapsed   time.Duration
}

func encodeCallHead(c *ffmesh.Call, now time.Time) (string, error) {
	return encode(callHead{
		ID: c.ID, Origin: c.Origin, Service: c.Service, Target: c.Target, Kind: c.Kind, Priority: c.Priority,
		Class: c.Class, Length: c.Length, Left: c.Deadline.Sub(now), Objective: c.Objective.Sub(now), Elapsed: now.Sub(c.Received),
	})
}

// call returns the call that h describes.
func (h callHead) call(now time.Time) *ffmesh.Call {
	return &ffmesh.Call{
		ID: h.ID, Origin: h.Origin, Service: h.Service, Target: h.Target, Kind: h.Kind, Priority: h.Priority,
		Class: h.Class, Length: h.Length, Deadline: now.Add(h.Left), Objective: now.Add(h.Objective), Received: now.Add(-h.Elapsed),
	}
}

// replyHead holds what an entry needs to know about a reply beyond the HTTP response.
type replyHead struct {
	_       struct{} `cbor:",toarray"`
	Outcome ffmesh.Outcome
	Reason  ffmesh.Reason
	Status  int
	Arrived bool
	RetryIn time.Duration
	Load    ffmesh.Load
}

func encodeReplyHead(r *ffmesh.Reply) (string, error) {
	return encode(replyHead{
		Outcome: r.Outcome, Reason: r.Reason, Status: r.Status,
		Arrived: r.Arrived, RetryIn: r.RetryIn, Load: r.Load,
	})
}

// minStatus and maxStatus are the range of statuses that an answer of a target may have.
const (
	minStatus = 200
	maxStatus = 999
)

// check returns an error if h describes an answer with a status that no answer may have.
func (h replyHead) check() error {
	if h.Outcome == ffmesh.OutcomeRan && (h.Status < minStatus || h.Status > maxStatus) {
		return merry.Errorf("status %d", h.Status)
	}
	return nil
}

// reply returns the reply that h describes, without its headers and body.
func (h replyHead) reply() *ffmesh.Reply {
	return &ffmesh.Reply{
		Outcome: h.Outcome, Reason: h.Reason, Status: h.Status,
		Arrived: h.Arrived, RetryIn: h.RetryIn, Load: h.Load,
	}
}
