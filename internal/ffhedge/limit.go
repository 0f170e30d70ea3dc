package ffhedge

import (
	"strconv"

	"github.com/ansel1/merry/v2"
)

// Limit is the greatest share of the work of each service that copies of slow calls may
// cost, over all daemons. The zero value sets no limit of its own: copies are bounded by the
// retry budget alone.
type Limit struct {
	set   bool
	share float64
}

// ParseLimit returns the limit with the share in text, from 0 to 1; none if text is empty.
func ParseLimit(text string) (Limit, error) {
	if text == "" {
		return Limit{}, nil
	}
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || !(share >= 0 && share <= 1) {
		return Limit{}, &Error{Op: "parse limit", Kind: KindFormat, Err: merry.Errorf("%q is not a share from 0 to 1", text)}
	}
	return Limit{set: true, share: share}, nil
}

// Share returns the share, and false if there is no limit.
func (l Limit) Share() (share float64, ok bool) { return l.share, l.set }

// UnmarshalText implements encoding.TextUnmarshaler.
func (l *Limit) UnmarshalText(text []byte) error {
	parsed, err := ParseLimit(string(text))
	*l = parsed
	return err
}
