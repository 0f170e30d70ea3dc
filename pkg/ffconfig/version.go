package ffconfig

import (
	"cmp"
	"fmt"
)

// Version identifies one accepted configuration. Versions are totally ordered:
// by number, then by the digest of the manifest. The zero value is older than
// every published version.
type Version struct {
	Number uint64 `json:"number"`
	Digest Digest `json:"digest"`
}

// Compare returns a negative number when v is older than other, zero when they
// are the same, and a positive number when v is newer.
func (v Version) Compare(other Version) int {
	if c := cmp.Compare(v.Number, other.Number); c != 0 {
		return c
	}
	return cmp.Compare(v.Digest, other.Digest)
}

// NewerThan reports whether v comes after other in the order of versions.
func (v Version) NewerThan(other Version) bool { return v.Compare(other) > 0 }

// IsZero reports whether v is the zero value, which means that no version is in force.
func (v Version) IsZero() bool { return v == Version{} }

// ConflictsWith reports whether both versions have the same nonzero number but
// different content.
func (v Version) ConflictsWith(other Version) bool {
	return v.Number == other.Number && v.Digest != other.Digest && v.Number != 0
}

// String returns the number and the first digits of the digest.
func (v Version) String() string {
	if v.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d@%s", v.Number, v.Digest.Short())
}
