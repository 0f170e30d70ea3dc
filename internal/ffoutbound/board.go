package ffoutbound

import (
	"net/netip"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

const (
	// replyLife is how long a VM counts as live after a reply.
	replyLife = 900 * time.Millisecond
	// downFor is how long a VM is avoided that refused a connection.
	downFor = time.Second
)

// fact is what the entry knows of the gate on one VM.
type fact struct {
	load ffmesh.Load
	// silentAt is when the VM counts as silent unless it is heard again; learned is
	// when load was last told.
	silentAt time.Time
	learned  time.Time
	down     time.Time
	leaving  bool
	// open counts our calls there; since counts those that began after learned, and
	// sent the bytes of their long bodies.
	open  int
	since int
	sent  int64
}

// Board holds what is known of every gate. The zero value knows nothing.
type Board struct {
	mu    sync.Mutex
	facts map[netip.Addr]*fact
}

func (b *Board) of(vm netip.Addr) *fact {
	if b.facts == nil {
		b.facts = make(map[netip.Addr]*fact)
	}
	f, ok := b.facts[vm]
	if !ok {
		f = &fact{}
		b.facts[vm] = f
	}
	return f
}

// Hear takes up a heartbeat; the VM counts as silent from silentAt on.
func (b *Board) Hear(vm netip.Addr, load ffmesh.Load, leaving bool, now, silentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.of(vm)
	f.load, f.leaving = load, leaving
	f.learned, f.silentAt = now, silentAt
	f.since, f.sent = 0, 0
}

// learn takes up the load that came with a reply.
func (b *Board) learn(vm netip.Addr, load ffmesh.Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.of(vm)
	f.load, f.learned = load, now
	if until := now.Add(replyLife); !f.silentAt.IsZero() && f.silentAt.Before(until) {
		f.silentAt = until
	}
	f.down = time.Time{}
	f.since, f.sent = 0, 0
}

// fail marks a VM that could not be reached.
func (b *Board) fail(vm netip.Addr, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(vm).down = now.Add(downFor)
}

// begin counts a call to a VM; end takes it back.
func (b *Board) begin(vm netip.Addr, c *ffmesh.Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.of(vm)
	f.open++
	f.since++
	if c.Long() {
		f.sent += c.BodyLength()
	}
}

func (b *Board) end(vm netip.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(vm).open--
}

// get returns a copy of what is known of a VM.
func (b *Board) get(vm netip.Addr) fact {
	b.mu.Lock()
	defer b.mu.Unlock()
	return *b.of(vm)
}
