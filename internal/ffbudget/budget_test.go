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

// callLoad is a load on entries beside targets whose runs call a second service that fails,
// so that every retry that the budgets allow is made. Odd entries are beside such targets.
type callLoad struct {
	entries int
	// perSecond is the rate of first requests, callsPerRun the number of calls of each run,
	// and runMs how long one takes.
	perSecond, callsPerRun, runMs, forMs int
}

// play returns the times, in milliseconds, of all requests to the called service, and of the
// retries there: those of the entries and the calls of retried runs.
func (l callLoad) play() (requests, retries []int) {
	start := time.Unix(1000, 0)
	config := ffbudget.Config{Ratio: budgetRatio, MinRetries: budgetSlack, Window: budgetWindowMs * time.Millisecond}
	budgets := make([]*ffbudget.Budget, l.entries)
	for i := range budgets {
		budgets[i] = &ffbudget.Budget{FirstStart: true}
		budgets[i].Set(config, l.entries, start)
	}
	running := make([][]int, l.entries)
	arrived, callers := 0.0, l.entries/2
	for ms := 0; ms < l.forMs; ms += entryStepMs {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for arrived += float64(l.perSecond) * entryStepMs / 1000; arrived >= 1; arrived-- {
			first := len(requests)
			budgets[first%l.entries].RecordRequest("caller", 0, 0, now)
			host := 2*(first%callers) + 1
			for range l.callsPerRun {
				requests = append(requests, ms)
				budgets[host].RecordRequest("called", 0, 0, now)
				if budgets[host].TryRetry("called", 0, true, now) {
					retries = append(retries, ms)
				}
			}
			host = 2*((first+1)%callers) + 1
			if budgets[first%l.entries].TryRetry("caller", 0, true, now) && budgets[host].AllowsRetriedRun(len(running[host]), now) {
				running[host] = append(running[host], ms)
			}
		}
		for host := range running {
			for len(running[host]) > 0 && running[host][0]+l.runMs <= ms {
				running[host] = running[host][1:]
				for range l.callsPerRun {
					retries = append(retries, ms)
					budgets[host].RecordRequest("called", 0, 1, now)
				}
			}
		}
	}
	return requests, retries
}

// TestCallsOfRetriedRuns guards against calls of retried runs that exceed, together with the
// entries' own retries, the budget of the service that is called.
func TestCallsOfRetriedRuns(t *testing.T) {
	for _, l := range []callLoad{
		{entries: 12, perSecond: 190, callsPerRun: 1, runMs: 90, forMs: 40_000},
		{entries: 12, perSecond: 190, callsPerRun: 2, runMs: 90, forMs: 40_000},
		{entries: 60, perSecond: 1000, callsPerRun: 2, runMs: 300, forMs: 30_000},
	} {
		requests, retries := l.play()
		worst := 0.0
		for from := 0; from < l.forMs; from += 100 {
			most := max(countIn(requests, from), countIn(requests, from-budgetWindowMs/2), countIn(requests, from-budgetWindowMs))
			worst = max(worst, float64(countIn(retries, from))/(budgetRatio*float64(most)+budgetSlack))
		}
		t.Logf("%+v: the worst window has %.2f of its budget", l, worst)
		if worst > 1 {
			t.Errorf("%+v: a window has %.2f of its budget", l, worst)
		}
	}
}
