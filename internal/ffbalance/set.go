package ffbalance

import "math/bits"

// set is a set of members of a group, by index below 64.
type set uint64

// firstBits returns the set of the indexes below n; n is at most 64.
func firstBits(n int) set { return set(1)<<n - 1 }

func (s set) empty() bool { return s == 0 }

func (s set) size() int { return bits.OnesCount64(uint64(s)) }

func (s set) has(i int) bool { return s&(1<<i) != 0 }

func (s set) with(i int) set { return s | 1<<i }

func (s set) without(i int) set { return s &^ (1 << i) }

// first returns the lowest index; the set must not be empty.
func (s set) first() int { return bits.TrailingZeros64(uint64(s)) }

// nth returns the n-th lowest index, counted from zero; n must be below the size.
func (s set) nth(n int) int {
	for range n {
		s &= s - 1
	}
	return s.first()
}
