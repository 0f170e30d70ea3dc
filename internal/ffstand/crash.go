package ffstand

import "github.com/ansel1/merry/v2"

// CrashKind is what a target ends in the middle of an answer: the connection or
// its process.
type CrashKind int

// Kinds of crash of a target.
const (
	CrashNone       CrashKind = iota // none
	CrashConnection                  // connection
	CrashProcess                     // process
)

// MarshalText returns the name of k.
func (k CrashKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText sets k from its name; an empty name is none.
func (k *CrashKind) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*k = CrashNone
		return nil
	}
	for known := CrashNone; known <= CrashProcess; known++ {
		if known.String() == string(text) {
			*k = known
			return nil
		}
	}
	return merry.Errorf("crash %q is not none, connection or process", text)
}
