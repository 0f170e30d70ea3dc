package ffhedge_test

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffhedge"
)

// slowness is a load on a service with slow answers, spread over entries.
type slowness struct {
	Name    string
	Entries int
	// Each call takes one of HumpsMs at random, with a log-normal spread.
	HumpsMs []float64
	Spread  float64
	// The first of all Targets are SlowTargets times SlowFactor slower.
	Targets, SlowTargets int
	SlowFactor           float64
	// In spells, one in NoisyOneIn calls takes NoisyFactor times as long.
	NoisyOneIn  int
	NoisyFactor float64
	// RestartEvery is the number of calls after which the next entry starts again; 0 if
	// none does. NoRoomShare is the share of calls that find no target with room.
	RestartEvery int
	NoRoomShare  float64
	// Gain is the least factor by which the limit of 0.05 lowers the 99th percentile.
	Gain float64
}

// replayedCalls is the number of calls of a replay.
const replayedCalls = 60_000

// entryState is what one entry knows.
type entryState struct {
	times  ffhedge.Times
	credit ffhedge.Credit
}

// play returns the sorted times of the answers, in milliseconds, and the share of extra work.
func (l slowness) play(t *testing.T, limit string) (ms []float64, extra float64) {
	t.Helper()
	parsed, err := ffhedge.ParseLimit(limit)
	if err != nil {
		t.Fatal(err)
	}
	share, _ := parsed.Share()
	random := rand.New(rand.NewPCG(3, 4))
	entries := make([]entryState, l.Entries)
	var work, extraWork float64
	for n := range replayedCalls {
		if l.RestartEvery > 0 && n%l.RestartEvery == 0 {
			entries[n/l.RestartEvery%l.Entries] = entryState{}
		}
		e := &entries[n%l.Entries]
		first := random.IntN(l.Targets)
		took := l.work(random, first, n)
		work += took
		slowFrom := float64(e.times.SlowFrom()) / float64(time.Millisecond)
		if slowFrom > 0 && took > slowFrom && e.credit.Allows(e.times.Mean()) && random.Float64() >= l.NoRoomShare {
			second := l.work(random, (first+1+random.IntN(l.Targets-1))%l.Targets, n)
			e.credit = e.credit.WithExtra(e.times.Mean())
			took = min(took, slowFrom+second)
			extraWork += min(second, took-slowFrom)
		}
		e.times = e.times.WithAnswer(time.Duration(took*float64(time.Millisecond)), share)
		e.credit = e.credit.WithCall(e.times.Mean(), parsed)
		ms = append(ms, took)
	}
	slices.Sort(ms)
	return ms, extraWork / work
}

// work returns the time of one call at a target, in milliseconds.
func (l slowness) work(random *rand.Rand, target, n int) float64 {
	ms := l.HumpsMs[random.IntN(len(l.HumpsMs))] * math.Exp(l.Spread*random.NormFloat64())
	if target < l.SlowTargets {
		ms *= l.SlowFactor
	}
	if l.NoisyOneIn > 0 && n/1000%3 == 0 && random.IntN(l.NoisyOneIn) == 0 {
		ms *= l.NoisyFactor
	}
	return ms
}

// TestSlowAnswers checks that copies lower the slowest answers, and never cost more than the
// limit, with entries that start again and services without room too.
func TestSlowAnswers(t *testing.T) {
	b, err := os.ReadFile("testdata/slowness.json")
	if err != nil {
		t.Fatal(err)
	}
	var loads []slowness
	if err := json.Unmarshal(b, &loads); err != nil {
		t.Fatal(err)
	}
	for _, l := range loads {
		t.Run(l.Name, func(t *testing.T) {
			none, _ := l.play(t, "0")
			p99 := len(none) * 99 / 100
			for limit, share := range map[string]float64{"0": 0, "0.02": 0.02, "0.05": 0.05, "0.1": 0.1} {
				ms, extra := l.play(t, limit)
				t.Logf("limit %s: p50 %.0f ms, p99 %.0f ms, extra work %.3f", limit, ms[len(ms)/2], ms[p99], extra)
				if extra > share {
					t.Errorf("limit %s: extra work %.3f", limit, extra)
				}
				if limit == "0.05" && none[p99] < l.Gain*ms[p99] {
					t.Errorf("p99 %.0f ms without copies, %.0f ms with them", none[p99], ms[p99])
				}
			}
		})
	}
}

// TestInvalidLimits checks that a limit that is no share is refused.
func TestInvalidLimits(t *testing.T) {
	for _, text := range []string{"-0.1", "1.1", "NaN", "5%", "x"} {
		if _, err := ffhedge.ParseLimit(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
	if l, err := ffhedge.ParseLimit(""); err != nil || l != (ffhedge.Limit{}) {
		t.Errorf("no limit: %v %v", l, err)
	}
}
