// Package ffgate is the only way to the target beside the daemon. It owns the
// target's slots, orders the calls that wait for one, and runs no call twice.
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

// Bounds of the remembered outcomes when the gate sets none.
const (
	defaultMaxRecords = 1 << 16
	defaultMaxBytes   = 8 << 20
)

// Target runs calls. It returns an *ffcall.Error that says whether a call that
// got no answer ran.
type Target interface {
	Do(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error)
}

// Snapshots tells the configuration in force; nil when there is none yet.
type Snapshots interface {
	Current() *ffconfig.Snapshot
}

// Gate stands before one target. The exported fields are set before the first call.
type Gate struct {
	// VM and Incarnation name this daemon, Service the service of its target.
	VM          string
	Incarnation uint64
	Service     string
	Target      Target
	Snapshots   Snapshots
	Issuer      *fftoken.Issuer
	// Announce is called once when a drain starts; it may be nil.
	Announce func()
	// Now is the clock; time.Now when nil.
	Now func() time.Time
	// MaxRecords and MaxBytes bound the remembered outcomes and the replies kept
	// with them, in bytes; zero means the default.
	MaxRecords int
	MaxBytes   int
	// Off turns policies off.
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

// prepare makes the zero value usable and takes up a new configuration. The
// caller holds the lock.
func (g *Gate) prepare() {
	if g.queue == nil {
		g.queue = ffqueue.New[*execution](ffqueue.Limits{})
		g.store = newStore(orDefault(g.MaxRecords, defaultMaxRecords), orDefault(g.MaxBytes, defaultMaxBytes))
		g.metrics.init()
	}
	if g.config.take(g.Snapshots.Current(), g.Service) {
		g.setLimits()
	}
}

func orDefault(n, value int) int {
	if n == 0 {
		return value
	}
	return n
}

// setLimits passes the slots in use on to the queue. The caller holds the lock.
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

// Load returns what the gate knows of its target now.
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
