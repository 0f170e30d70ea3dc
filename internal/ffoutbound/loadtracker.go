package ffoutbound

import (
	"net/netip"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

const (
	// liveAfterReply is how long a VM counts as live after a reply.
	liveAfterReply = 900 * time.Millisecond
	// unreachableFor is how long a VM is avoided after a call to it failed without a reply.
	unreachableFor = time.Second
)

// vmState is what the entry knows about a VM and its gate.
type vmState struct {
	load ffmesh.Load
	// silentAt is when the VM counts as silent unless a heartbeat or a reply comes
	// before; it is zero while the VM has not announced any. loadAt is when load was
	// received.
	silentAt time.Time
	loadAt   time.Time
	// unreachableUntil is until when the VM is avoided after a call to it failed.
	unreachableUntil time.Time
	leaving          bool
	// limit is the limit that the target limitOf named in the last answer passed on, in
	// calls per second; 0 if none.
	limit   float64
	limitOf string
	// open counts this entry's calls in progress there. callsSince counts those started
	// after loadAt, and bytesSince the bytes of their long bodies.
	open       int
	callsSince int
	bytesSince int64
}

// LoadTracker holds the load and the reachability of every gate. The zero value is empty
// and ready to use.
type LoadTracker struct {
	mu      sync.Mutex
	vms     map[netip.Addr]*vmState
	centres map[string]*centreState
}

// state returns the state of a VM, an empty one if the VM is new. The caller holds the
// lock.
func (b *LoadTracker) state(vm netip.Addr) *vmState {
	if b.vms == nil {
		b.vms = make(map[netip.Addr]*vmState)
	}
	s, ok := b.vms[vm]
	if !ok {
		s = &vmState{}
		b.vms[vm] = s
	}
	return s
}

// centre returns the state of a data centre. The caller holds the lock.
func (b *LoadTracker) centre(name string) *centreState {
	if b.centres == nil {
		b.centres = make(map[string]*centreState)
	}
	c, ok := b.centres[name]
	if !ok {
		c = &centreState{}
		b.centres[name] = c
	}
	return c
}

// cutOff reports whether a data centre is probably unreachable.
func (b *LoadTracker) cutOff(dataCentre string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.centre(dataCentre).cutOff(now)
}

// RecordHeartbeat stores the load from a heartbeat; the VM counts as silent from silentAt
// on, unless that is zero.
func (b *LoadTracker) RecordHeartbeat(l Location, load ffmesh.Load, leaving bool, now, silentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.centre(l.DataCentre).contact(now)
	s := b.state(l.VM)
	s.load, s.leaving = load, leaving
	s.loadAt, s.silentAt = now, silentAt
	s.callsSince, s.bytesSince = 0, 0
}

// recordLoad stores the load that came with a reply, and marks the VM as reachable.
func (b *LoadTracker) recordLoad(l Location, load ffmesh.Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.centre(l.DataCentre).contact(now)
	s := b.state(l.VM)
	s.load, s.loadAt = load, now
	if until := now.Add(liveAfterReply); !s.silentAt.IsZero() && s.silentAt.Before(until) {
		s.silentAt = until
	}
	s.unreachableUntil = time.Time{}
	s.callsSince, s.bytesSince = 0, 0
}

// markUnreachable marks a VM to be avoided for a while.
func (b *LoadTracker) markUnreachable(l Location, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.centre(l.DataCentre).fail(l.VM)
	b.state(l.VM).unreachableUntil = now.Add(unreachableFor)
}

// recordLimit stores the limit that a target named in an answer, 0 if it named none.
func (b *LoadTracker) recordLimit(t fffleet.Target, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(t.VM())
	s.limit, s.limitOf = limit, t.ID
}

// limit returns the limit that a target named in the last answer passed on; 0 if none.
func (b *LoadTracker) limit(t fffleet.Target) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.state(t.VM()); s.limitOf == t.ID {
		return s.limit
	}
	return 0
}

// startCall counts a call to a VM as in progress; endCall counts it as ended.
func (b *LoadTracker) startCall(vm netip.Addr, c *ffmesh.Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(vm)
	s.open++
	s.callsSince++
	if c.HasLongBody() {
		s.bytesSince += c.BodyLength()
	}
}

func (b *LoadTracker) endCall(vm netip.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(vm).open--
}

// snapshot returns a copy of the state of a VM.
func (b *LoadTracker) snapshot(vm netip.Addr) vmState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return *b.state(vm)
}
