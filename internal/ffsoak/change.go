package ffsoak

import (
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// ChangeKind states how a version differs from the one before.
type ChangeKind int

// Kinds of change.
const (
	ChangeAmend    ChangeKind = iota // amend
	ChangeMove                       // move
	ChangeRemove                     // remove
	ChangeRollBack                   // rollBack
	ChangeCorrupt                    // corrupt
	ChangeDangling                   // dangling
	ChangeRace                       // race
	changeKinds                      // changeKinds
)

// MarshalText returns the name of k.
func (k ChangeKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText sets k from its name.
func (k *ChangeKind) UnmarshalText(text []byte) error {
	for known := range changeKinds {
		if known.String() == string(text) {
			*k = known
			return nil
		}
	}
	return merry.Errorf("%q is not a kind of change", text)
}

// Change is one publication of the schedule.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// AtMillis is the time of the publication, from the start of the load.
	AtMillis int64 `json:"atMillis"`
}

// Publication is a version that the operators published.
type Publication struct {
	Kind    ChangeKind       `json:"kind"`
	Version ffconfig.Version `json:"version"`
	At      time.Time        `json:"at"`
	// Faulty is set when no daemon may apply the version.
	Faulty bool `json:"faulty,omitempty"`
	// Races is set when another version with the same number was published with it.
	Races    bool               `json:"races,omitempty"`
	Routes   []ffconfig.Route   `json:"routes"`
	Services []ffconfig.Service `json:"services"`
	// Allowed maps each customer to the names of its routes.
	Allowed map[string][]string `json:"allowed"`
}

const (
	// changeSpacing is the interval between two scheduled changes.
	changeSpacing = 1500 * time.Millisecond
)

// lastChanges are the changes published after all faults have ended, each at a
// percentage of the length.
var lastChanges = []struct {
	percent time.Duration
	kind    ChangeKind
}{
	{78, ChangeMove},
	{82, ChangeDangling},
	{86, ChangeMove},
	{90, ChangeAmend},
}

// drawChanges returns the publications of a soak: repeated random permutations
// of all kinds, followed by lastChanges.
func drawChanges(random *rand.Rand, length time.Duration) []Change {
	n := int(length * 3 / 4 / changeSpacing)
	var changes []Change
	var order []int
	for i := range n {
		if len(order) == 0 {
			order = random.Perm(int(changeKinds))
		}
		at := changeSpacing * time.Duration(i+1)
		changes = append(changes, Change{Kind: ChangeKind(order[0]), AtMillis: at.Milliseconds()})
		order = order[1:]
	}
	for _, last := range lastChanges {
		changes = append(changes, Change{Kind: last.kind, AtMillis: (length * last.percent / 100).Milliseconds()})
	}
	return changes
}
