package ffgenerator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

const (
	// defaultInFlight is the maximum number of calls in flight when none is set.
	defaultInFlight = 8000
	// idlePerHost is the maximum number of idle connections to one daemon.
	idlePerHost = 256
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
)

// Generator sends the calls of its streams. The zero value sends none.
type Generator struct {
	Streams []Stream
	// Seed seeds the random start times.
	Seed uint64
	// Duration is the duration of the run.
	Duration time.Duration
	// MaxInFlight is the maximum number of calls in flight; 8000 when zero.
	MaxInFlight int
	// KeepCalls makes the results store every call, not just counts and latencies.
	KeepCalls bool
}

// NewHTTPClient returns an HTTP client whose pool of idle connections suits a generator.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Run sends the calls and waits until all have ended. It returns one result per
// stream, in the order of Streams.
func (g *Generator) Run(ctx context.Context) []*Result {
	inFlight := g.MaxInFlight
	if inFlight == 0 {
		inFlight = defaultInFlight
	}
	slots := make(chan struct{}, inFlight)
	start := time.Now()
	results := make([]*Result, len(g.Streams))
	var wg sync.WaitGroup
	for i, s := range g.Streams {
		results[i] = newResult(s.Name)
		snd := &sender{stream: s, result: results[i], slots: slots, keep: g.KeepCalls, seed: g.Seed + uint64(i)}
		wg.Go(func() { snd.loop(ctx, start, start.Add(g.Duration)) })
	}
	wg.Wait()
	return results
}

// sender sends the calls of one stream.
type sender struct {
	stream Stream
	result *Result
	slots  chan struct{}
	keep   bool
	seed   uint64
	count  uint64
	calls  sync.WaitGroup
}

// loop starts each call at its scheduled time until the stream ends or ctx is
// done, then waits for all calls.
func (s *sender) loop(ctx context.Context, start, end time.Time) {
	if s.stream.Stop > 0 {
		end = start.Add(s.stream.Stop)
	}
	a := newArrivals(s.stream.Rate, start.Add(s.stream.Start), s.seed)
	for a.next.Before(end) && sleepUntil(ctx, a.next) {
		s.start(ctx, a.next)
		a.advance()
	}
	s.calls.Wait()
}

// start starts a call scheduled for at, or drops it when the maximum number of
// calls is in flight.
func (s *sender) start(ctx context.Context, at time.Time) {
	select {
	case s.slots <- struct{}{}:
	default:
		s.result.drop()
		return
	}
	s.result.sent()
	s.count++
	c := &call{sender: s, at: at, request: s.stream.request(s.count)}
	s.calls.Go(func() { c.run(ctx) })
}

// call is one call in flight.
type call struct {
	sender  *sender
	at      time.Time
	request ffclient.Request
}

// run sends the call and records its outcome.
func (c *call) run(ctx context.Context) {
	defer func() { <-c.sender.slots }()
	s := c.sender.stream
	if s.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.at.Add(s.Timeout))
		defer cancel()
	}
	done := Call{Stream: s.Name, Started: c.at, Request: c.request}
	if s.OnceRoute != "" {
		done.Answer, done.Err = s.Client.DoOnce(ctx, s.OnceRoute, c.request)
	} else {
		done.Answer, done.Err = s.Client.Do(ctx, c.request)
	}
	if s.Direct && done.Answer != nil && done.Answer.Status == http.StatusOK {
		done.Answer.Outcome = ffclient.OutcomeRan
	}
	done.Ended = time.Now()
	c.sender.result.record(done, s.LateAfter, c.sender.keep)
}

// sleepUntil waits until at, and returns false when ctx is done before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
