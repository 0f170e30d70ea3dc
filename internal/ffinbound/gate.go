package ffinbound

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/fffloor"
	"fireflyfall.dev/fireflyfall/internal/ffhop"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffpace"
)

// defaultSlots is assumed for a target that does not report its slots.
const defaultSlots = 4

// TargetSource provides the target that is believed to run on this VM.
type TargetSource interface {
	// LocalTarget returns the target, and false if none is known.
	LocalTarget() (fffleet.Target, bool)
	// MarkLeaving records that a target said that it is leaving.
	MarkLeaving(t fffleet.Target)
	// MarkReplaced records that another target answers at the address of t.
	MarkReplaced(t fffleet.Target)
	// Evacuated reports whether the target gets no calls by order of the operators.
	Evacuated() bool
	// Tolerance returns what the target takes while it is cold, and HealthPath the path of
	// its health check.
	Tolerance() ffpace.Tolerance
	HealthPath() string
}

// Gate controls the calls to the target on this VM.
type Gate struct {
	Target  TargetSource
	Dialect ffmesh.Dialect
	Pool    *ffhop.Pool
	// Intake schedules the long bodies received from other VMs.
	Intake *Intake
	// AllowsRetriedRun reports whether the target, which runs a number of retries, may run
	// one more; nil if it always may.
	AllowsRetriedRun func(running int, now time.Time) bool
	Log              zerolog.Logger

	mu sync.Mutex
	// target is the run for which calls wait, as it was last listed.
	target    fffleet.Target
	evacuated bool
	slots     int
	running   int
	queue     queue
	runs      runs
	stats     targetStats
	pacer     ffpace.Pacer
	warmup    ffpace.Warmup
	// floor counts the calls of each class while the target is cold.
	floor fffloor.Floor
	// asking reports whether the target is being asked how long it stays cold.
	asking bool
	// wake dispatches again when a call may be sent under the target's limit.
	wake   *time.Timer
	closed bool
	// quietUntil is when the next invalid notice is logged.
	quietUntil time.Time
}

// Do implements ffmesh.Gate. The slot of a call with a streamed answer is released at the
// end of the stream or of ctx.
func (g *Gate) Do(ctx context.Context, c *ffmesh.Call) *ffmesh.Reply {
	target, refusal := g.checkTarget(c)
	if refusal != nil {
		return g.logRefusal(c, refusal)
	}
	w, refusal := g.enqueue(c)
	if refusal != nil {
		return g.logRefusal(c, refusal)
	}
	if refusal := g.wait(ctx, c, w); refusal != nil {
		return g.logRefusal(c, refusal)
	}
	started := g.startCall(c)
	// The slot is released whatever happens.
	reply := ffmesh.Contain(g.Log, c, func() *ffmesh.Reply { return g.send(ctx, c, target) })
	if reply.Stream == nil {
		g.finishCall(c, reply, started)
		return g.attachLoad(reply)
	}
	body := reply.Stream
	reply.Stream = ffhop.NewTrackedBody(ctx, body, func(error) {
		_ = body.Close()
		g.finishCall(c, reply, started)
	})
	return g.attachLoad(reply)
}

// attachLoad adds the current load to a reply.
func (g *Gate) attachLoad(r *ffmesh.Reply) *ffmesh.Reply {
	r.Load = g.Load()
	return r
}

// logRefusal logs a refusal with the data behind it, and returns it with the load.
func (g *Gate) logRefusal(c *ffmesh.Call, r *ffmesh.Reply) *ffmesh.Reply {
	g.attachLoad(r)
	now := time.Now()
	g.Log.Info().Str("request", c.ID).Stringer("reason", r.Reason).Str("target", r.Load.Target).
		Int("running", r.Load.Running).Int("queued", r.Load.Queued).Int("slots", r.Load.Slots).
		Dur("typical", r.Load.Typical).Dur("wait", r.RetryIn).Dur("objectiveIn", c.Objective.Sub(now)).
		Dur("deadlineIn", c.Deadline.Sub(now)).Msg("gate refused")
	return r
}
