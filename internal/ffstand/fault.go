package ffstand

import "github.com/ansel1/merry/v2"

// FaultKind is a kind of fault of the platform.
type FaultKind int

// Kinds of fault of the platform.
const (
	FaultNone     FaultKind = iota // none
	FaultOutage                    // outage
	FaultRefusing                  // refusing
	FaultSlow                      // slow
	FaultStale                     // stale
	FaultFlapping                  // flapping
	FaultCorrupt                   // corrupt
)

// MarshalText returns the name of k.
func (k FaultKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText sets k from its name.
func (k *FaultKind) UnmarshalText(text []byte) error {
	for known := FaultNone; known <= FaultCorrupt; known++ {
		if known.String() == string(text) {
			*k = known
			return nil
		}
	}
	return merry.Errorf("fault %q is not none, outage, refusing, slow, stale, flapping or corrupt", text)
}

// Fault is a fault injected into the platform. The zero value means no fault.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// DelayMillis is added to each request while the platform is slow, in milliseconds.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// PublicationsBack selects the old state that a stale or flapping platform serves, as a
	// number of publications before the fault was set; zero is the state at that
	// time.
	PublicationsBack int `json:"back,omitempty"`
	// Key is the key of the value that a corrupt platform alters.
	Key string `json:"key,omitempty"`
}

func (f Fault) validate() error {
	switch {
	case f.DelayMillis < 0:
		return &Error{Op: "set fault", Kind: KindInvalid, Err: merry.Errorf("delayMillis is %d, must be at least 0", f.DelayMillis)}
	case f.PublicationsBack < 0 || f.PublicationsBack >= historyCapacity:
		return &Error{Op: "set fault", Kind: KindInvalid, Err: merry.Errorf("back is %d, must be from 0 to %d", f.PublicationsBack, historyCapacity-1)}
	case f.Kind == FaultCorrupt && f.Key == "":
		return &Error{Op: "set fault", Kind: KindInvalid, Err: merry.New("fault corrupt requires a key")}
	}
	return nil
}
