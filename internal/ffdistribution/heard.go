package ffdistribution

import "fireflyfall.dev/fireflyfall/pkg/ffconfig"

// Heard takes in that the daemon of a VM has a version in force, as a call
// between daemons told. Where this daemon is behind it pulls from there.
func (n *Node) Heard(vm string, v ffconfig.Version) {
	n.once.Do(n.init)
	if !n.Store.Wants(v) {
		return
	}
	n.Store.Observe(v)
	peer, ok := n.Members.View().VM(vm)
	if !ok {
		return
	}
	offer(n.hints, hint{version: v, address: peer.PeerAddress, foreign: peer.DataCentre != n.Self.DataCentre})
}
