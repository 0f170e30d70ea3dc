package fffloor

import (
	"math"
	"slices"
	"time"
)

const (
	// leastShare is the share of the rate at which all calls are served that every class
	// gets. The promise is a quarter; the rest is for calls that are granted and then lost.
	leastShare = 1.0 / 3
	// callDecay is the time constant with which calls are forgotten.
	callDecay = 2 * time.Second
	// maxClasses limits the classes that are remembered; that with the fewest calls is
	// forgotten first.
	maxClasses = 32
)

// Floor knows how many calls of each class were asked for and granted lately. It is immutable,
// and the zero value knows of none.
type Floor struct {
	classes []class
	at      time.Time
}

// class counts the recent calls of one class.
type class struct {
	id             uint16
	asked, granted float64
}

// WithAsked returns f after a call of a class was asked for at now.
func (f Floor) WithAsked(id uint16, now time.Time) Floor {
	f = f.decayed(now)
	i := slices.IndexFunc(f.classes, func(c class) bool { return c.id == id })
	if i < 0 {
		f = f.withRoom()
		i = len(f.classes)
		f.classes = append(f.classes, class{id: id})
	}
	f.classes[i].asked++
	return f
}

// WithGranted returns f after a call of a class was granted at now.
func (f Floor) WithGranted(id uint16, now time.Time) Floor {
	f = f.decayed(now)
	for i := range f.classes {
		if f.classes[i].id == id {
			f.classes[i].granted++
		}
	}
	return f
}

// Owed reports whether a class, of which a number of calls wait already, is served so much
// less often than all calls that its next call goes first.
func (f Floor) Owed(id uint16, waiting int) bool {
	var all, own class
	for _, c := range f.classes {
		all.asked += c.asked
		all.granted += c.granted
		if c.id == id {
			own = c
		}
	}
	return (own.granted+float64(waiting))*all.asked < leastShare*all.granted*own.asked
}

// decayed returns a copy of f in which older calls count less at now.
func (f Floor) decayed(now time.Time) Floor {
	keep := 1.0
	if !f.at.IsZero() {
		keep = math.Exp(-now.Sub(f.at).Seconds() / callDecay.Seconds())
	}
	classes := make([]class, len(f.classes), len(f.classes)+1)
	for i, c := range f.classes {
		classes[i] = class{id: c.id, asked: keep * c.asked, granted: keep * c.granted}
	}
	return Floor{classes: classes, at: now}
}

// withRoom returns f without the class that has the fewest calls if there are too many.
func (f Floor) withRoom() Floor {
	if len(f.classes) < maxClasses {
		return f
	}
	least := 0
	for i, c := range f.classes {
		if c.asked < f.classes[least].asked {
			least = i
		}
	}
	f.classes = slices.Delete(f.classes, least, least+1)
	return f
}
