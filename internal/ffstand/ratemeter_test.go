package ffstand

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed
)

// stay is one request in whole milliseconds; a watch waits until its end.
type stay struct {
	begin, end int64
	watch      bool
}

// naiveCounters counts second by second which requests begin and which watches wait on.
func naiveCounters(stays []stay, until int64, ceiling uint64) Counters {
	var c Counters
	for second := int64(0); second*1000 <= until; second++ {
		var calls uint64
		for _, s := range stays {
			first := s.begin / 1000
			if first == second || (s.watch && first < second && s.end >= second*1000) {
				calls++
			}
		}
		c.Calls += calls
		c.HighestCallsPerSecond = max(c.HighestCallsPerSecond, calls)
		if ceiling > 0 && calls > ceiling {
			c.SecondsAboveCeiling++
		}
	}
	for _, s := range stays {
		c.Requests++
		if s.watch && s.end > until {
			c.Waiting++
		}
	}
	return c
}

func TestRateMeterMatchesNaiveCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ceiling := rapid.Uint64Range(0, 4).Draw(t, "ceiling")
		meter := rateMeter{ceiling: ceiling}
		epoch := time.Unix(0, 0)
		var now int64
		var stays, ended []stay
		at := func() time.Time { return epoch.Add(time.Duration(now) * time.Millisecond) }
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			now += rapid.Int64Range(1, 2500).Draw(t, "pause")
			if len(stays) > 0 && rapid.Bool().Draw(t, "end") {
				meter.endWait(at())
				stays[0].end = now
				ended = append(ended, stays[0])
				stays = stays[1:]
				continue
			}
			meter.admit(at())
			if rapid.Bool().Draw(t, "watch") {
				meter.beginWait(at())
				stays = append(stays, stay{begin: now, end: 1 << 40, watch: true})
			} else {
				ended = append(ended, stay{begin: now})
			}
		}
		got := meter.snapshot(at())
		want := naiveCounters(append(ended, stays...), now, ceiling)
		want.Refused = got.Refused
		if got != want {
			t.Fatalf("got %+v, the naive count is %+v", got, want)
		}
	})
}
