package ffdaemon

import (
	"sync/atomic"

	"fireflyfall.dev/fireflyfall/internal/ffdistribution"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffoperator"
)

// state provides the status of the daemon to operators.
type state struct {
	self        ffmember.VM
	incarnation ffmember.Incarnation
	node        *ffdistribution.Node
	store       *ffdistribution.Store
	members     *ffdistribution.Members
	draining    atomic.Bool
}

func provideState(self ffmember.VM, incarnation ffmember.Incarnation, node *ffdistribution.Node, store *ffdistribution.Store, members *ffdistribution.Members) *state {
	return &state{self: self, incarnation: incarnation, node: node, store: store, members: members}
}

// Status returns the current status of the daemon.
func (s *state) Status() ffoperator.Status {
	view := s.members.View()
	status := ffoperator.Status{
		VM:          s.self.Name,
		DataCentre:  s.self.DataCentre,
		Service:     s.self.Service,
		Incarnation: uint64(s.incarnation),
		Version:     s.store.Version(),
		Ready:       s.node.Ready(),
		Draining:    s.draining.Load(),
		Live:        len(view.AllLive()),
	}
	status.Leaving = view.Len() - status.Live
	if !status.Ready {
		status.Reason = "has not learnt the greatest version yet"
	}
	return status
}

// Members returns the known VMs that are not gone.
func (s *state) Members() []ffmember.VM { return s.members.View().Present() }
