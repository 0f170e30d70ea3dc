package ffconfig

import (
	"github.com/ansel1/merry/v2"
)

//go:generate stringer -type=Class,PieceKind -linecomment -output=enum_string.go

// Class distinguishes short from long work.
type Class int

// Classes of work.
const (
	ClassShort Class = iota // short
	ClassLong               // long
)

// MarshalText returns the name of c.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText sets c from its name.
func (c *Class) UnmarshalText(text []byte) error {
	for _, known := range []Class{ClassShort, ClassLong} {
		if known.String() == string(text) {
			*c = known
			return nil
		}
	}
	return merry.Errorf("%q is neither short nor long", text)
}
