package ffqueue

import (
	"math"
	"time"
)

// demandMemory is the time constant of the mean that a demand follows.
const demandMemory = time.Second

// demand follows how many slots short work asks for. Long work leaves that many
// free, because a slot that it takes is gone for much longer than a swing of
// short work lasts. The zero value has seen none.
type demand struct {
	mean float64
	last int
	at   time.Time
}

// observe notes that n short calls run or wait from now on.
func (d *demand) observe(now time.Time, n int) {
	if !d.at.IsZero() {
		kept := math.Exp(-now.Sub(d.at).Seconds() / demandMemory.Seconds())
		d.mean = kept*d.mean + (1-kept)*float64(d.last)
	}
	d.last = n
	d.at = now
}

// slots returns the slots that short work needs, with room for a swing.
func (d *demand) slots() int { return int(math.Ceil(d.mean + math.Sqrt(d.mean))) }
