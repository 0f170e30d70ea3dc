package ffnode

import (
	"net/netip"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffoutbound"
)

// Settings are what a daemon is told at its start and at each reload.
type Settings struct {
	Name       string
	DataCentre string
	// Service is the service of the target on this VM.
	Service string
	// Callers, Peers, Heartbeats, Ready and Metrics are the addresses to serve on.
	Callers    netip.AddrPort
	Peers      netip.AddrPort
	Heartbeats netip.AddrPort
	Ready      netip.AddrPort
	Metrics    netip.AddrPort
	// Target is the address of the target beside the daemon; invalid when it has none.
	Target netip.AddrPort
	// Store is the address of the platform's store.
	Store string
	// Repeats is the fleet's budget for repeats.
	Repeats ffoutbound.Allowance
	// StopGrace is the time between a request to stop and the end by force.
	StopGrace time.Duration
	// Memory is what the process may use, in bytes.
	Memory int64
	// Link is what the VM's link carries, in bytes a second.
	Link int64
}
