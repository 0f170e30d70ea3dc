package ffgenerator

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

const (
	// lowestMicros and highestMicros bound the recorded latencies, in microseconds.
	lowestMicros  = 1
	highestMicros = 120_000_000
	// significantDigits is the precision of the recorded latencies.
	significantDigits = 3
)

// Result holds the counts, latencies and refusal reasons of the calls of one stream.
type Result struct {
	Name string
	// Sent is the number of calls that were due, including Dropped.
	Sent int64
	// Answered is the number of calls that a target answered in time.
	Answered int64
	// Late is the number of calls that a target answered after Stream.LateAfter.
	Late int64
	// NotRun is the number of calls that did not run, including Dropped.
	NotRun int64
	// Unknown is the number of calls that may or may not have run.
	Unknown int64
	// Dropped is the number of calls that were not sent because the maximum number
	// of calls was in flight.
	Dropped int64

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	reasons   map[string]int64
	calls     []Call
}

// Call is one call with its answer or error.
type Call struct {
	Stream  string
	Started time.Time
	Ended   time.Time
	Request ffclient.Request
	Answer  *ffclient.Answer
	Err     error
}

func newResult(name string) *Result {
	return &Result{
		Name:      name,
		latencies: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		reasons:   make(map[string]int64),
	}
}

// Percentile returns the p-th percentile of the latencies of calls that a target
// answered, late ones included; p is from 0 to 100.
func (r *Result) Percentile(p float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latencies.ValueAtQuantile(p)) * time.Microsecond
}

// Mean returns the mean latency of calls that a target answered, late ones included.
func (r *Result) Mean() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latencies.Mean() * float64(time.Microsecond))
}

// Reasons returns the number of calls that were sent and did not run, or may not
// have, by reason.
func (r *Result) Reasons() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	reasons := make(map[string]int64, len(r.reasons))
	for reason, n := range r.reasons {
		reasons[reason] = n
	}
	return reasons
}

// Calls returns every call that has ended, if Generator.KeepCalls was set.
func (r *Result) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// AnsweredFraction returns the fraction of the sent calls that was answered in time.
func (r *Result) AnsweredFraction() float64 {
	if r.Sent == 0 {
		return 0
	}
	return float64(r.Answered) / float64(r.Sent)
}

// record counts a call that has ended.
func (r *Result) record(c Call, patience time.Duration, keep bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if keep {
		r.calls = append(r.calls, c)
	}
	outcome := outcomeOf(c)
	if outcome != ffclient.OutcomeRan {
		r.reasons[reasonOf(c)]++
	}
	latency := c.Ended.Sub(c.Started)
	switch {
	case outcome == ffclient.OutcomeNotRun:
		r.NotRun++
	case outcome == ffclient.OutcomeUnknown:
		r.Unknown++
	case patience > 0 && latency > patience:
		r.Late++
		_ = r.latencies.RecordValue(latency.Microseconds())
	default:
		r.Answered++
		_ = r.latencies.RecordValue(latency.Microseconds())
	}
}

// drop counts a call that was due and not sent.
func (r *Result) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	r.Dropped++
	r.NotRun++
}

func (r *Result) sent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
}

// outcomeOf returns the outcome of c, which is unknown without an answer.
func outcomeOf(c Call) ffclient.Outcome {
	if c.Answer != nil {
		return c.Answer.Outcome
	}
	return ffclient.OutcomeUnknown
}

func reasonOf(c Call) string {
	if c.Answer != nil {
		return c.Answer.Reason
	}
	return "transport"
}
