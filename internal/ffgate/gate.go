// Package ffgate controls all access to the daemon's local target. It assigns the
// target's slots, queues the calls that wait for one, and never runs a call twice
// that is not idempotent.
package ffgate

import (
	"context"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffqueue"
	"fireflyfall.dev/fireflyfall/internal/fftoken"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Default limits of the stored outcomes.
const (
	defaultMaxRecords = 1 << 16
	defaultMaxBytes   = 8 << 20
)

// Target runs calls. If a call gets no answer, Do returns an *ffcall.Error that
// reports whether the call ran.
type Target interface {
	Do(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error)
}

// SnapshotSource provides the active configuration; Current returns nil while there is
// none.
type SnapshotSource interface {
	Current() *ffconfig.Snapshot
}

// Gate controls the access to one target. The exported fields must be set before
// the first call.
type Gate struct {
	// VM and Incarnation identify this daemon, Service is the service of its target.
	VM          string
	Incarnation uint64
	Service     string
	Target      Target
	Snapshots   SnapshotSource
	Issuer      *fftoken.Issuer
	// OnDrain is called once when a drain starts; it may be nil.
	OnDrain func()
	// Now is the clock; time.Now when nil.
	Now func() time.Time
	// MaxRecords bounds the number of stored outcomes, MaxBytes the total size of
	// the replies stored with them; zero means the default.
	MaxRecords int
	MaxBytes   int
	// Off disables policies.
	Off Switches

	mu        sync.Mutex
	config    config
	queue     *ffqueue.Queue[*execution]
	estimator ffqueue.Estimator
	store     *store
	limiter   limiter
	health    health
	drain     drain
	metrics   metrics
}

// prepare initializes a zero Gate and applies a new configuration. The caller
// holds the lock.
func (g *Gate) prepare() {
	if g.queue == nil {
		g.queue = ffqueue.New[*execution](ffqueue.Limits{})
		g.store = newStore(orDefault(g.MaxRecords, defaultMaxRecords), orDefault(g.MaxBytes, defaultMaxBytes))
		g.metrics.init()
	}
	if g.config.update(g.Snapshots.Current(), g.Service) {
		g.setLimits()
	}
}

func orDefault(n, defaultValue int) int {
	if n == 0 {
		return defaultValue
	}
	return n
}

// setLimits sets the limits of the queue from the configuration and the usable
// slots. The caller holds the lock.
func (g *Gate) setLimits() {
	s := g.config.service
	g.queue.SetLimits(g.Off.limits(s, g.limiter.slots(s.Slots)))
}

func (g *Gate) now() time.Time {
	if g.Now == nil {
		return time.Now()
	}
	return g.Now()
}

// Load returns the current load of the target and its queue.
func (g *Gate) Load() ffcall.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepare()
	return g.load()
}

func (g *Gate) load() ffcall.Load {
	l := ffcall.Load{
		VM:          g.VM,
		Incarnation: g.Incarnation,
		QueuedShort: g.queue.Queued(ffconfig.ClassShort),
		QueuedLong:  g.queue.Queued(ffconfig.ClassLong),
		Version:     g.config.version(),
	}
	if g.health.ready() && !g.drain.started() {
		l.FreeSlots = max(0, g.queue.Limits().Slots-g.queue.InUse())
	}
	return l
}
