package ffmeshsoak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

const (
	// meanTargetGap is the mean time between two faults of targets.
	meanTargetGap = 1500 * time.Millisecond
	// limitDuration is how long a target names a limit: longer than the time after which
	// the limit binds and the window in which it is checked.
	limitDuration = 9 * time.Second
	// targetLimit is the limit that a target names, in requests per second.
	targetLimit = 5
)

// GenerateTargetEvents returns the random faults of targets of a seed, sorted by time.
func GenerateTargetEvents(seed uint64, length time.Duration, vms int) []Event {
	r := rand.New(rand.NewPCG(seed, 3))
	var all []Event
	for at := firstFault; at < length-lastFault; at += time.Duration(r.Int64N(int64(2 * meanTargetGap))) {
		e := Event{At: at, For: maxFaultDuration, Fault: FaultTargetLimit + Fault(r.IntN(int(targetFaultEnd-FaultTargetLimit))), VM: r.IntN(vms)}
		if e.Fault == FaultTargetLimit {
			e.For = limitDuration
		}
		all = append(all, e)
	}
	return all
}

// disruptTarget lets the target of a VM answer wrongly, or speak of itself, for the time of
// an event, one at a time per VM. It returns when that began and the target's ID.
func (f *fleet) disruptTarget(v *vm, e Event) (began time.Time, id string) {
	v.answersMu.Lock()
	defer v.answersMu.Unlock()
	v.targetMu.Lock()
	left := v.entry
	v.targetMu.Unlock()
	behave := behaviours[e.Fault]
	v.answers.Store(&behave)
	began = time.Now()
	<-time.After(e.For)
	v.answers.Store(nil)
	if e.Fault == FaultTargetSaysLeaving {
		f.replaceTarget(v)
		f.store.DeleteEntry(left.ID)
	}
	return began, left.ID
}

// behaviours is how a target handles a request during each fault of targets. The choice
// follows from the request's ID.
var behaviours = map[Fault]func(*http.Request) ffstandin.Behaviour{
	FaultTargetLimit: func(*http.Request) ffstandin.Behaviour {
		return ffstandin.Behaviour{Work: workTime, Limit: ffstandin.FormatLimit(targetLimit)}
	},
	FaultTargetSaysLeaving: func(*http.Request) ffstandin.Behaviour {
		return ffstandin.Behaviour{Work: workTime, Leaving: true}
	},
	FaultTargetGarbles: func(r *http.Request) ffstandin.Behaviour {
		spoiled := []ffstandin.Behaviour{
			{Truncate: true},
			{ExtraResponse: true},
			{OtherAttempt: true},
			{CutAt: 40},
			{Reset: true},
			{},
		}
		return choose(r, spoiled)
	},
	FaultTargetRepeatsRefusals: func(r *http.Request) ffstandin.Behaviour {
		return choose(r, []ffstandin.Behaviour{{Shed: true, Anonymous: true}, {Shed: true}, {RepeatRefusal: true}, {}})
	},
}

// choose returns one of all by the ID of a request.
func choose(r *http.Request, all []ffstandin.Behaviour) ffstandin.Behaviour {
	b := all[xxhash.Sum64String(ffstandin.AttemptID(r.Header))%uint64(len(all))]
	b.Work = workTime
	return b
}
