package ffprotocol

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// SetChecksum sets the checksum of the summary and returns it.
func (x *Summary) SetChecksum() *Summary {
	x.Checksum = x.sum()
	return x
}

// HasValidChecksum reports whether the checksum of the summary is correct; false for nil.
func (x *Summary) HasValidChecksum() bool { return x != nil && x.Checksum == x.sum() }

func (x *Summary) sum() uint64 {
	rest := proto.CloneOf(x)
	rest.Checksum = 0
	return checksum(rest)
}

// SetChecksum sets the checksum of the evidence and returns it.
func (x *Evidence) SetChecksum() *Evidence {
	x.Checksum = x.sum()
	return x
}

// HasValidChecksum reports whether the checksum of the evidence is correct; false for nil.
func (x *Evidence) HasValidChecksum() bool { return x != nil && x.Checksum == x.sum() }

func (x *Evidence) sum() uint64 {
	rest := proto.CloneOf(x)
	rest.Checksum = 0
	return checksum(rest)
}

// checksum returns the XXH64 hash of the deterministic encoding of m, or 0 if m
// cannot be encoded.
func checksum(m proto.Message) uint64 {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(content)
}
