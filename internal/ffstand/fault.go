package ffstand

import "github.com/ansel1/merry/v2"

// FaultKind tells how the platform misbehaves.
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

// Fault is one misbehaviour of the platform. The zero value is none.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// DelayMillis is added to each request while the platform is slow, in milliseconds.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// Back is the number of publications that a stale or flapping platform
	// goes back; zero is the state at the moment when the fault begins.
	Back int `json:"back,omitempty"`
	// Key names the value whose content is corrupt.
	Key string `json:"key,omitempty"`
}

func (f Fault) validate() error {
	switch {
	case f.DelayMillis < 0:
		return &Error{Op: "set fault", Kind: KindInvalid, Err: merry.Errorf("delayMillis is %d, at least 0 is allowed", f.DelayMillis)}
	case f.Back < 0 || f.Back >= historyCapacity:
		return &Error{Op: "set fault", Kind: KindInvalid, Err: merry.Errorf("back is %d, 0 to %d is allowed", f.Back, historyCapacity-1)}
	case f.Kind == FaultCorrupt && f.Key == "":
		return &Error{Op: "set fault", Kind: KindInvalid, Err: merry.New("a corrupt fault needs a key")}
	}
	return nil
}
