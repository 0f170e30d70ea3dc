package ffgossip

import (
	"cmp"
	"strconv"
	"strings"
)

// Revision is a point in the history of the store. The zero value is before all others.
type Revision struct {
	_ struct{} `cbor:",toarray"`
	// Era counts the times at which the store came back from a copy. What it had written
	// since the copy is lost, and its numbers are given out again.
	Era uint64 `json:"era,omitempty"`
	// Number counts the changes.
	Number uint64 `json:"number"`
}

// Compare returns a negative number if r is earlier than s, a positive one if it is later,
// and 0 if they are equal.
func (r Revision) Compare(s Revision) int {
	return cmp.Or(cmp.Compare(r.Era, s.Era), cmp.Compare(r.Number, s.Number))
}

// Before reports whether r is earlier than s.
func (r Revision) Before(s Revision) bool { return r.Compare(s) < 0 }

// String returns the era and the number, separated by a dot.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era, 10) + "." + strconv.FormatUint(r.Number, 10)
}

// ParseRevision parses what String returns.
func ParseRevision(text string) (Revision, error) {
	era, number, _ := strings.Cut(text, ".")
	e, err := strconv.ParseUint(era, 10, 64)
	if err != nil {
		return Revision{}, &Error{Op: "parse a revision", Kind: KindDecode, Err: err}
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return Revision{}, &Error{Op: "parse a revision", Kind: KindDecode, Err: err}
	}
	return Revision{Era: e, Number: n}, nil
}
