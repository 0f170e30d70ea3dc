package ffmeshpeer

import (
	"encoding/json"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// Headers between daemons.
const (
	callHeader  = "Fireflyfall-Call"
	replyHeader = "Fireflyfall-Reply"
)

// callHead is what a gate must know of a call beside the request itself. Times
// are what was left when it was sent.
type callHead struct {
	ID       string       `json:"id"`
	Origin   string       `json:"origin"`
	Service  string       `json:"service"`
	Target   string       `json:"target"`
	Kind     ffroute.Kind `json:"kind"`
	Priority int          `json:"priority"`
	// Length is the length of the body in bytes; -1 when it is not known.
	Length    int64         `json:"length"`
	Left      time.Duration `json:"left"`
	Objective time.Duration `json:"objective"`
	Elapsed   time.Duration `json:"elapsed"`
}

func headOf(c *ffmesh.Call, now time.Time) (string, error) {
	b, err := json.Marshal(callHead{
		ID: c.ID, Origin: c.Origin, Service: c.Service, Target: c.Target, Kind: c.Kind, Priority: c.Priority,
		Length: c.Length, Left: c.Deadline.Sub(now), Objective: c.Objective.Sub(now), Elapsed: now.Sub(c.Received),
	})
	return string(b), err
}

// call returns the call that h describes.
func (h callHead) call(now time.Time) *ffmesh.Call {
	return &ffmesh.Call{
		ID: h.ID, Origin: h.Origin, Service: h.Service, Target: h.Target, Kind: h.Kind, Priority: h.Priority,
		Length: h.Length, Deadline: now.Add(h.Left), Objective: now.Add(h.Objective), Received: now.Add(-h.Elapsed),
	}
}

// replyHead is what an entry must know of a reply beside the answer itself.
type replyHead struct {
	Outcome ffmesh.Outcome `json:"outcome"`
	Reason  ffmesh.Reason  `json:"reason"`
	Status  int            `json:"status"`
	Arrived bool           `json:"arrived"`
	RetryIn time.Duration  `json:"retryIn"`
	Load    ffmesh.Load    `json:"load"`
}

func replyHeadOf(r *ffmesh.Reply) (string, error) {
	b, err := json.Marshal(replyHead{
		Outcome: r.Outcome, Reason: r.Reason, Status: r.Status,
		Arrived: r.Arrived, RetryIn: r.RetryIn, Load: r.Load,
	})
	return string(b), err
}

// reply returns the reply that h describes, without its answer.
func (h replyHead) reply() *ffmesh.Reply {
	return &ffmesh.Reply{
		Outcome: h.Outcome, Reason: h.Reason, Status: h.Status,
		Arrived: h.Arrived, RetryIn: h.RetryIn, Load: h.Load,
	}
}
