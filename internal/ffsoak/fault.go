package ffsoak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// FaultKind states what a fault does.
type FaultKind int

// Kinds of fault.
const (
	FaultPlannedStop      FaultKind = iota // plannedStop
	FaultKillOne                           // killOne
	FaultFreeze                            // freeze
	FaultCut                               // cut
	FaultPlatformStale                     // platformStale
	FaultKillHerd                          // killHerd
	FaultKillDataCentre                    // killDataCentre
	FaultCutOneWay                         // cutOneWay
	FaultSilentOneWay                      // silentWay
	FaultPlatformCut                       // platformCut
	FaultPlatformOutage                    // platformOutage
	FaultPlatformRefusing                  // platformRefusing
	FaultPlatformSlow                      // platformSlow
	FaultPlatformFlapping                  // platformFlapping
	FaultPlatformCorrupt                   // platformCorrupt
	FaultSilentForward                     // silentForward
	FaultSilentPeer                        // silentPeer
	FaultSilentTarget                      // silentTarget
	FaultHeldForward                       // heldForward
	FaultListedLeaving                     // listedLeaving
	FaultTargetSlow                        // targetSlow
	FaultTargetCrash                       // targetCrash
	faultKinds                             // faultKinds
)

// MarshalText returns the name of k.
func (k FaultKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText sets k from its name.
func (k *FaultKind) UnmarshalText(text []byte) error {
	for known := range faultKinds {
		if known.String() == string(text) {
			*k = known
			return nil
		}
	}
	return merry.Errorf("%q is not a kind of fault", text)
}

// ofPlatform reports whether the fault affects what daemons read from the platform.
func (k FaultKind) ofPlatform() bool {
	switch k {
	case FaultPlatformStale, FaultPlatformOutage, FaultPlatformRefusing, FaultPlatformSlow, FaultPlatformFlapping, FaultPlatformCorrupt, FaultPlatformCut:
		return true
	default:
		return false
	}
}

// ofLink reports whether the fault affects connections between data centres.
func (k FaultKind) ofLink() bool {
	switch k {
	case FaultCut, FaultCutOneWay, FaultSilentOneWay, FaultSilentForward, FaultSilentPeer, FaultHeldForward:
		return true
	default:
		return false
	}
}

// ofProcess reports whether the fault ends or freezes daemons.
func (k FaultKind) ofProcess() bool {
	switch k {
	case FaultPlannedStop, FaultKillOne, FaultKillHerd, FaultKillDataCentre, FaultFreeze:
		return true
	default:
		return false
	}
}

// Fault is one fault of the schedule.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// AtMillis and UntilMillis bound the fault, from the start of the load.
	AtMillis    int64 `json:"atMillis"`
	UntilMillis int64 `json:"untilMillis"`
	// VMs names the affected VMs.
	VMs []string `json:"vms,omitempty"`
	// From and To name the data centres whose connections are affected.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// Back is the number of publications by which the platform reverts.
	Back int `json:"back,omitempty"`
}

// String describes the fault in one line.
func (f Fault) String() string {
	where := strings.Join(f.VMs, " ")
	if f.From != "" {
		where = strings.TrimSuffix(f.From+" to "+f.To, " to ")
	}
	return fmt.Sprintf("%s %s at %d to %d ms", f.Kind, where, f.AtMillis, f.UntilMillis)
}

// InjectedFault is a fault with the times at which it began and ended.
type InjectedFault struct {
	Fault
	Began time.Time `json:"began"`
	Ended time.Time `json:"ended"`
	// Stopped is when the process of a planned stop exited.
	Stopped time.Time `json:"stopped"`
	// Failure is the reason why a planned stop did not end with status 0.
	Failure string `json:"failure,omitempty"`
}

// overlaps reports whether the fault was active between two times.
func (f InjectedFault) overlaps(from, to time.Time) bool {
	return f.Began.Before(to) && (f.Ended.IsZero() || f.Ended.After(from))
}

// is reports whether both are the same fault of the schedule.
func (f InjectedFault) is(other InjectedFault) bool {
	return f.Kind == other.Kind && f.AtMillis == other.AtMillis && slices.Equal(f.VMs, other.VMs)
}

// between reports whether the fault affects calls that daemons of one data
// centre forward to those of another.
func (f Fault) between(entry, gate string) bool {
	switch f.Kind {
	case FaultCut:
		return entry != gate && (f.From == entry || f.From == gate)
	case FaultCutOneWay, FaultSilentOneWay:
		return f.From == entry && f.To == gate
	case FaultSilentForward, FaultHeldForward:
		return f.From == gate
	default:
		return false
	}
}
