package ffdistribution

import "fireflyfall.dev/fireflyfall/pkg/ffconfig"

// ObserveVersion reports that the daemon of the named VM has version v active, as carried by
// a call between daemons. If v is newer than this daemon's version, it is pulled
// from that daemon.
func (n *Node) ObserveVersion(vm string, v ffconfig.Version) {
	n.once.Do(n.init)
	if !n.Store.ShouldApply(v) {
		return
	}
	n.Store.AuditConflict(v)
	peer, ok := n.Members.View().VM(vm)
	if !ok {
		return
	}
	trySend(n.hints, hint{version: v, address: peer.PeerAddress, external: peer.DataCentre != n.Self.DataCentre})
}
