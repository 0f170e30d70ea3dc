package ffnode

import (
	"net/netip"
	"sync/atomic"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffgossip"
	"fireflyfall.dev/fireflyfall/internal/ffinbound"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffmeshpeer"
	"fireflyfall.dev/fireflyfall/internal/ffpace"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// localTarget provides the target that runs on the daemon's VM.
type localTarget struct {
	settings *atomic.Pointer[Settings]
	state    *ffgossip.State
}

// LocalTarget implements ffinbound.TargetSource.
func (l localTarget) LocalTarget() (fffleet.Target, bool) {
	s := l.settings.Load()
	if !s.Target.IsValid() {
		return fffleet.Target{}, false
	}
	return l.state.Fleet().At(s.Target)
}

// MarkLeaving implements ffinbound.TargetSource.
func (l localTarget) MarkLeaving(t fffleet.Target) { l.state.MarkLeaving(t) }

// MarkReplaced implements ffinbound.TargetSource.
func (l localTarget) MarkReplaced(t fffleet.Target) { l.state.MarkReplaced(t) }

// Evacuated implements ffinbound.TargetSource.
func (l localTarget) Evacuated() bool {
	t, ok := l.LocalTarget()
	return ok && l.state.Fleet().IsEvacuated(t.DataCentre)
}

// Tolerance implements ffinbound.TargetSource.
func (l localTarget) Tolerance() ffpace.Tolerance {
	s, settings := l.service(), l.settings.Load()
	return ffpace.Tolerance{PerSecond: s.ColdPerSecond, ColdTime: s.ColdTime, Ratio: settings.ColdRatio, Slack: settings.ColdSlack}
}

// HealthPath implements ffinbound.TargetSource.
func (l localTarget) HealthPath() string { return l.service().HealthPath }

// service returns the configuration of the target's service, zero if there is none.
func (l localTarget) service() ffroute.Service {
	table := l.state.Table()
	if table == nil {
		return ffroute.Service{}
	}
	return table.Service(l.settings.Load().Service)
}

// gates returns the gate of this VM directly, and clients for those of other VMs.
type gates struct {
	vm     netip.Addr
	local  *ffinbound.Gate
	remote *ffmeshpeer.Client
}

// Gate implements ffoutbound.Gates.
func (g gates) Gate(vm netip.Addr) ffmesh.Gate {
	if vm == g.vm {
		return g.local
	}
	return g.remote.Gate(vm)
}
