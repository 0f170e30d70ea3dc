package ffdelegate

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// delegatesPerDataCentre is the number of daemons in each data centre that may take
// over from a reader. It leaves one when two fail together.
const delegatesPerDataCentre = 3

// Member is a daemon that may read the store.
type Member struct {
	VM         netip.Addr
	DataCentre string
}

// Place is the place of a daemon in the order of readers.
type Place struct {
	// Rank is the number of members before it. The order is by hash, with the first
	// daemon of each data centre before the second of any.
	Rank int
	// Round is the number of members of its own data centre before it.
	Round int
	// Listed reports whether the daemon is a member itself.
	Listed bool
}

// Delegate reports whether the daemon takes over when the reader fails. Others read
// only when all delegates have failed. While the list of members still grows, daemons
// that are not listed would all take themselves for delegates.
func (p Place) Delegate() bool { return p.Listed && p.Round < delegatesPerDataCentre }

// Precedes reports whether the daemon on a comes before the one on b when both read.
func Precedes(a, b netip.Addr) bool { return hashOf(a) < hashOf(b) }

func hashOf(vm netip.Addr) uint64 { return xxhash.Sum64(vm.AsSlice()) }

// ranked is a member with its sort keys.
type ranked struct {
	member Member
	hash   uint64
	round  int
}

// PlaceOf returns the place of self among members. Members may repeat.
func PlaceOf(self Member, members []Member) Place {
	order := make([]ranked, 0, len(members)+1)
	seen := make(map[netip.Addr]bool, len(members)+1)
	for _, m := range append([]Member{self}, members...) {
		if !seen[m.VM] {
			seen[m.VM] = true
			order = append(order, ranked{member: m, hash: hashOf(m.VM)})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	counts := make(map[string]int)
	for i, o := range order {
		order[i].round = counts[o.member.DataCentre]
		counts[o.member.DataCentre]++
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(a.round, b.round) })
	i := slices.IndexFunc(order, func(o ranked) bool { return o.member.VM == self.VM })
	return Place{Rank: i, Round: order[i].round, Listed: slices.Contains(members, self)}
}
