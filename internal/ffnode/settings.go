package ffnode

import (
	"net/netip"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffbudget"
	"fireflyfall.dev/fireflyfall/internal/ffhedge"
)

// Settings configure a daemon. They are set at its start and replaced at each reload.
type Settings struct {
	Name       string
	DataCentre string
	// Service is the service of the target on this VM.
	Service string
	// The following are the addresses to listen on:
	// for clients, other daemons, gossip, the readiness check and the metrics.
	CallerAddress    netip.AddrPort
	PeerAddress      netip.AddrPort
	HeartbeatAddress netip.AddrPort
	ReadyAddress     netip.AddrPort
	MetricsAddress   netip.AddrPort
	// Target is the address of the target on this VM; invalid if there is none.
	Target netip.AddrPort
	// Store is the address of the platform's store.
	Store string
	// RetryBudget is the retry budget of the whole fleet.
	RetryBudget ffbudget.Config
	// ColdRatio is the multiple of what a cold target takes a second that it may get, and
	// ColdSlack the number of calls that may come in any second besides.
	ColdRatio, ColdSlack float64
	// HedgeLimit bounds the work of copies of slow calls.
	HedgeLimit ffhedge.Limit
	// FirstStart reports whether the whole deployment starts for the first time.
	FirstStart bool
	// StopGrace is the time between the request to stop and the forced end.
	StopGrace time.Duration
	// Memory is the amount that the process may use, in bytes.
	Memory int64
	// LinkRate is the bandwidth of the VM's network link, in bytes per second.
	LinkRate int64
}

// fixedChanges returns the names of the settings that differ from those in old and are only
// read at the start.
func (s *Settings) fixedChanges(old *Settings) []string {
	var names []string
	for _, setting := range []struct {
		name    string
		changed bool
	}{
		{"name", s.Name != old.Name},
		{"dataCentre", s.DataCentre != old.DataCentre},
		{"callerAddress", s.CallerAddress != old.CallerAddress},
		{"peerAddress", s.PeerAddress != old.PeerAddress},
		{"heartbeatAddress", s.HeartbeatAddress != old.HeartbeatAddress},
		{"readyAddress", s.ReadyAddress != old.ReadyAddress},
		{"metricsAddress", s.MetricsAddress != old.MetricsAddress},
		{"memory", s.Memory != old.Memory},
		{"linkRate", s.LinkRate != old.LinkRate},
	} {
		if setting.changed {
			names = append(names, setting.name)
		}
	}
	return names
}
