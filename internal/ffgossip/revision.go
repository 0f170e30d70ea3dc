package ffgossip

import (
	"cmp"
	"strconv"
	"strings"
)

// Revision is a point in the history of the store. The zero value is before all others.
type Revision struct {
	_ struct{} `cbor:",toarray"`
	// Epoch counts how often the store was restored from a backup. What was written since
	// the backup is lost, and its numbers are assigned again.
	Epoch uint64 `json:"epoch,omitempty"`
	// Number counts the changes.
	Number uint64 `json:"number"`
}

// Compare returns a negative number if r is earlier than s, a positive one if it is later,
// and 0 if they are equal.
func (r Revision) Compare(s Revision) int {
	return cmp.Or(cmp.Compare(r.Epoch, s.Epoch), cmp.Compare(r.Number, s.Number))
}

// Before reports whether r is earlier than s.
func (r Revision) Before(s Revision) bool { return r.Compare(s) < 0 }

// String returns the epoch and the number, separated by a dot.
func (r Revision) String() string {
	return strconv.FormatUint(r.Epoch, 10) + "." + strconv.FormatUint(r.Number, 10)
}

// ParseRevision parses what String returns.
func ParseRevision(text string) (Revision, error) {
	epoch, number, _ := strings.Cut(text, ".")
	e, err := strconv.ParseUint(epoch, 10, 64)
	if err != nil {
		return Revision{}, &Error{Op: "parse a revision", Kind: KindDecode, Err: err}
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return Revision{}, &Error{Op: "parse a revision", Kind: KindDecode, Err: err}
	}
	return Revision{Epoch: e, Number: n}, nil
}
