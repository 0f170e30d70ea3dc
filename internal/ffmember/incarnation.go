package ffmember

import "time"

// incarnationRandomBits is the number of random low bits, which distinguish two starts within one millisecond.
const incarnationRandomBits = 20

// Incarnation identifies one run of a daemon. A later start gives a greater
// incarnation; random low bits distinguish starts in the same millisecond.
type Incarnation uint64

// NewIncarnation returns the incarnation of a daemon that started at the given
// time, with low bits taken from random.
func NewIncarnation(start time.Time, random uint64) Incarnation {
	high := uint64(start.UnixMilli()) << incarnationRandomBits
	return Incarnation(high | random&(1<<incarnationRandomBits-1))
}

// StartTime returns the start time, in whole milliseconds.
func (i Incarnation) StartTime() time.Time { return time.UnixMilli(int64(i >> incarnationRandomBits)) }
