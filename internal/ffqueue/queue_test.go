package ffqueue_test

import (
	"errors"
	"flag"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/internal/ffqueue"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// steps is the number of operations in each run of a rapid state machine test,
// and checks the number of runs.
const (
	steps  = "300"
	checks = "500"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.steps": steps, "rapid.checks": checks} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

var epoch = time.Unix(1_000_000, 0)

var shares = map[string]int{"a": 1, "b": 2, "c": 5}

func drawItem(t *rapid.T, now time.Time, id int) *item {
	customer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
	mean := time.Duration(rapid.IntRange(0, 20).Draw(t, "mean")) * time.Millisecond
	return &item{
		Customer: customer,
		Class:    ffconfig.Class(rapid.IntRange(0, 1).Draw(t, "class")),
		Share:    shares[customer],
		Deadline: now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "timeout")) * time.Millisecond),
		Estimate: ffqueue.Estimate{Cost: max(mean, time.Millisecond), Mean: mean, P10: mean / 2, P90: 2 * mean},
		Value:    id,
	}
}

// TestQueueMatchesReference compares every result with that of referenceQueue, and
// checks that no limit is exceeded.
func TestQueueMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		limits := ffqueue.Limits{Slots: slots, LongSlots: rapid.IntRange(0, slots-1).Draw(t, "longSlots"), Length: rapid.IntRange(1, 8).Draw(t, "length")}
		q := ffqueue.New[int](limits)
		ref := &referenceQueue{limits: limits, startTags: make(map[flowKey]float64), virtualTime: make(map[ffconfig.Class]float64)}
		now, id := epoch, 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id++
				it := drawItem(t, now, id)
				wantEvicted, wantKind := ref.push(now, it)
				evicted, err := q.Push(now, it)
				if evicted != wantEvicted || kindOf(err) != wantKind {
					t.Fatalf("push: evicted %v kind %v, want %v kind %v", evicted, kindOf(err), wantEvicted, wantKind)
				}
			},
			"next": func(t *rapid.T) {
				want, wantDecision := ref.next(now)
				it, decision := q.Next(now)
				if it != want || decision != wantDecision {
					t.Fatalf("next: %v %v, want %v %v", it, decision, want, wantDecision)
				}
			},
			"release": func(t *rapid.T) {
				if len(ref.running) == 0 {
					t.Skip("nothing runs")
				}
				it := rapid.SampledFrom(ref.running).Draw(t, "running")
				used := time.Duration(rapid.IntRange(0, 50).Draw(t, "used")) * time.Millisecond
				ref.release(it, used)
				q.Release(it, used)
			},
			"remove": func(t *rapid.T) {
				if len(ref.waiting) == 0 {
					t.Skip("nothing waits")
				}
				it := rapid.SampledFrom(ref.waiting).Draw(t, "waiting")
				ref.remove(it)
				q.Remove(it)
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 10).Draw(t, "millis")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(ref.waiting) || q.InUse() != len(ref.running) {
					t.Fatalf("%d wait and %d run, want %d and %d", q.Len(), q.InUse(), len(ref.waiting), len(ref.running))
				}
				if q.Running(ffconfig.ClassLong) > limits.LongSlots || q.InUse() > limits.Slots || q.Len() > limits.Length {
					t.Fatalf("a limit is exceeded: %d long, %d in use, %d wait", q.Running(ffconfig.ClassLong), q.InUse(), q.Len())
				}
			},
		})
	})
}

func kindOf(err error) ffqueue.Kind {
	var e *ffqueue.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ffqueue.KindUnknown
}
