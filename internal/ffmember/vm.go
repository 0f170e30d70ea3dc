// Package ffmember decides which VMs are live and leaving, from the platform's
// lagging list and from direct evidence.
package ffmember

import "github.com/ansel1/merry/v2"

//go:generate stringer -type=State -linecomment -output=state_string.go

// State is the lifecycle state of a VM; only a live VM takes new work.
type State int

// States of a VM, in lifecycle order.
const (
	StateLive    State = iota // live
	StateLeaving              // leaving
	StateGone                 // gone
)

// MarshalText returns the name of s.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText sets s from its name.
func (s *State) UnmarshalText(text []byte) error {
	for _, known := range []State{StateLive, StateLeaving, StateGone} {
		if known.String() == string(text) {
			*s = known
			return nil
		}
	}
	return merry.Errorf("state %q is not live, leaving or gone", text)
}

// VM is a VM with a target and its daemon, as listed by the platform.
type VM struct {
	// Name is the unique name of the VM.
	Name string `json:"name"`
	// DataCentre names the data centre of the VM.
	DataCentre string `json:"dataCentre"`
	// Service names the service of the target on the VM.
	Service string `json:"service"`
	// PeerAddress is the IP address and port where the daemon serves other daemons' control calls.
	PeerAddress string `json:"peerAddress"`
	// ForwardAddress is the IP address and port where the daemon receives calls from other daemons.
	ForwardAddress string `json:"forwardAddress"`
	// OperatorAddress is the IP address and port where the daemon serves operators.
	OperatorAddress string `json:"operatorAddress"`
	// State is the state of the VM according to the platform.
	State State `json:"state"`
}
