package ffbudget_test

import (
	"encoding/json"
	"os"
	"slices"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffbudget"
)

// Bounds of the fleet's budget, as the users state them.
const (
	budgetRatio    = 0.2
	budgetSlack    = 60
	budgetWindowMs = 10_000
	// entryStepMs is the interval at which an entry acts.
	entryStepMs = 10
)

// budgetLoad is a load on the entries of a fleet, each of which makes all the retries that
// its budget allows.
type budgetLoad struct {
	Name    string
	Entries int
	// RequestsPerSecond is the rate of all entries together; from FallsAtMs on it is
	// FallsTo, unless FallsAtMs is 0.
	RequestsPerSecond, FallsTo float64
	FallsAtMs                  int
	ForMs                      int
	// Retries are wanted from WantedFromMs on.
	WantedFromMs int
	// The first Restarting entries start again at each of RestartAtMs.
	Restarting  int
	RestartAtMs []int
	// For KnownForMs after a restart or LapseAtMs, entries know only Known targets.
	LapseAtMs, Known, KnownForMs int
}

// known returns the number of targets that an entry knows at a time.
func (l budgetLoad) known(entry, ms int) int {
	partly := func(from int) bool { return from > 0 && ms >= from && ms < from+l.KnownForMs }
	if partly(l.LapseAtMs) || entry < l.Restarting && slices.ContainsFunc(l.RestartAtMs, partly) {
		return l.Known
	}
	return l.Entries
}

// rate returns the requests per second at a time.
func (l budgetLoad) rate(ms int) float64 {
	if l.FallsAtMs > 0 && ms >= l.FallsAtMs {
		return l.FallsTo
	}
	return l.RequestsPerSecond
}

// play returns the times, in milliseconds, of all requests and retries.
func (l budgetLoad) play() (requests, retries []int) {
	start := time.Unix(1000, 0)
	config := ffbudget.Config{Ratio: budgetRatio, MinRetries: budgetSlack, Window: budgetWindowMs * time.Millisecond}
	budgets := make([]*ffbudget.Budget, l.Entries)
	for i := range budgets {
		budgets[i] = &ffbudget.Budget{FirstStart: true}
	}
	arrived := 0.0
	for ms := 0; ms < l.ForMs; ms += entryStepMs {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		arrived += l.rate(ms) * entryStepMs / 1000
		for i := range budgets {
			if i < l.Restarting && slices.Contains(l.RestartAtMs, ms) {
				budgets[i] = &ffbudget.Budget{}
			}
			budgets[i].Set(config, l.known(i, ms), now)
		}
		for ; arrived >= 1; arrived-- {
			requests = append(requests, ms)
			budgets[len(requests)%l.Entries].RecordRequest("s", 0, 0, now)
		}
		for _, b := range budgets {
			for ms >= l.WantedFromMs && b.TryRetry("s", 0, true, now) {
				retries = append(retries, ms)
			}
		}
	}
	return requests, retries
}

// countIn returns how many of the sorted times lie in the window that starts at from.
func countIn(times []int, from int) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, from+budgetWindowMs)
	return end - first
}

// TestFleetExceedsBudget guards against more retries of all entries together than the
// fleet's budget allows in some window.
func TestFleetExceedsBudget(t *testing.T) {
	b, err := os.ReadFile("testdata/budgets.json")
	if err != nil {
		t.Fatal(err)
	}
	var loads []budgetLoad
	if err := json.Unmarshal(b, &loads); err != nil {
		t.Fatal(err)
	}
	for _, l := range loads {
		t.Run(l.Name, func(t *testing.T) {
			requests, retries := l.play()
			if len(retries) == 0 {
				t.Fatal("no retry was allowed")
			}
			for _, from := range slices.Compact(slices.Clone(retries)) {
				most := max(countIn(requests, from), countIn(requests, from-budgetWindowMs/2), countIn(requests, from-budgetWindowMs))
				if got, allowed := countIn(retries, from), budgetRatio*float64(most)+budgetSlack; float64(got) > allowed {
					t.Fatalf("from %d ms: %d retries for %d requests, %.0f allowed", from, got, most, allowed)
				}
			}
		})
	}
}

// TestBudget checks that the retries of all entries together stay within the fleet's
// budget in every window.
func TestBudget(t *testing.T) {
	const entries, ratio, slack = 4, 0.2, 40
	var all [entries]ffbudget.Budget
	var retries, requests []time.Time
	start := time.Unix(1000, 0)
	for i := range all {
		all[i].FirstStart = true
		all[i].Set(ffbudget.Config{Ratio: ratio, MinRetries: slack, Window: 10 * time.Second}, entries, start)
	}
	for tick := range 3000 {
		now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
		for i := range all {
			if tick%10 == 0 {
				all[i].RecordRequest("s", 0, 0, now)
				requests = append(requests, now)
			}
			if all[i].TryRetry("s", 0, true, now) {
				retries = append(retries, now)
			}
		}
	}
	count := func(times []time.Time, from time.Time) (n float64) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(10*time.Second)) {
				n++
			}
		}
		return n
	}
	for s := 0; s <= 20; s++ {
		from := start.Add(time.Duration(s) * time.Second)
		if got, most := count(retries, from), ratio*count(requests, from)+slack; got > most {
			t.Errorf("from second %d: %v retries, %v allowed", s, got, most)
		}
	}
	if len(retries) == 0 {
		t.Error("no retry was allowed")
	}
}

// TestBudgetPriorities checks that calls of the lowest priority leave a part of the
// budget to those of higher priority, and a part to clients that ask again.
func TestBudgetPriorities(t *testing.T) {
	var b ffbudget.Budget
	b.Set(ffbudget.Config{Ratio: 0.2, MinRetries: 10, Window: 10 * time.Second}, 1, time.Unix(900, 0))
	now := time.Unix(1000, 0)
	const high, low = 1, 2
	for range 100 {
		b.RecordRequest("s", high, 0, now)
		b.RecordRequest("s", low, 0, now)
	}
	spend := func(priority int, clientRetry bool) (n int) {
		for b.TryRetry("s", priority, clientRetry, now) {
			n++
		}
		return n
	}
	lowRetries, highRetries, clientRetries := spend(low, false), spend(high, false), spend(low, true)
	if lowRetries < 10 || highRetries < 5 || clientRetries < 10 {
		t.Errorf("%d retries of the lowest priority left %d to the highest and %d to clients that ask again", lowRetries, highRetries, clientRetries)
	}
	if all := lowRetries + highRetries + clientRetries; all > 50 {
		t.Errorf("%d retries, 50 allowed", all)
	}
}
