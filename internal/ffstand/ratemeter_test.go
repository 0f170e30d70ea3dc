package ffstand

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // sets a fixed seed
)

// span is the time of one request in milliseconds; a watch waits until its end.
type span struct {
	begin, end int64
	watch      bool
}

// naiveCounters counts, second by second, the requests that begin and the watches
// that still wait.
func naiveCounters(spans []span, until int64, limit uint64) Counters {
	var c Counters
	for second := int64(0); second*1000 <= until; second++ {
		var calls uint64
		for _, s := range spans {
			first := s.begin / 1000
			if first == second || (s.watch && first < second && s.end >= second*1000) {
				calls++
			}
		}
		c.Calls += calls
		c.HighestCallsPerSecond = max(c.HighestCallsPerSecond, calls)
		if limit > 0 && calls > limit {
			c.SecondsAboveLimit++
		}
	}
	for _, s := range spans {
		c.Requests++
		if s.watch && s.end > until {
			c.Waiting++
		}
	}
	return c
}

func TestRateMeterMatchesNaiveCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Uint64Range(0, 4).Draw(t, "ceiling")
		meter := rateMeter{limit: limit}
		epoch := time.Unix(0, 0)
		var now int64
		var spans, ended []span
		at := func() time.Time { return epoch.Add(time.Duration(now) * time.Millisecond) }
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			now += rapid.Int64Range(1, 2500).Draw(t, "pause")
			if len(spans) > 0 && rapid.Bool().Draw(t, "end") {
				meter.endWait(at())
				spans[0].end = now
				ended = append(ended, spans[0])
				spans = spans[1:]
				continue
			}
			meter.admit(at())
			if rapid.Bool().Draw(t, "watch") {
				meter.beginWait(at())
				spans = append(spans, span{begin: now, end: 1 << 40, watch: true})
			} else {
				ended = append(ended, span{begin: now})
			}
		}
		got := meter.snapshot(at())
		want := naiveCounters(append(ended, spans...), now, limit)
		want.Refused = got.Refused
		if got != want {
			t.Fatalf("got %+v, the naive count is %+v", got, want)
		}
	})
}
