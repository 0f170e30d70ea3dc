package ffgenerator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

const (
	// defaultInFlight bounds the calls in flight.
	defaultInFlight = 8000
	// idlePerHost bounds the idle connections to one daemon.
	idlePerHost = 256
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
)

// Generator sends the calls of some streams. The zero value sends none.
type Generator struct {
	Streams []Stream
	// Seed fixes the start times.
	Seed uint64
	// For is the length of the run.
	For time.Duration
	// InFlight bounds the calls in flight; 8000 when zero.
	InFlight int
	// Keep tells whether the results hold every call.
	Keep bool
}

// NewHTTP returns a client that keeps enough connections for a generator.
func NewHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Run sends the calls and waits until each has ended. Results are in the order of
// the streams.
func (g *Generator) Run(ctx context.Context) []*Result {
	inFlight := g.InFlight
	if inFlight == 0 {
		inFlight = defaultInFlight
	}
	slots := make(chan struct{}, inFlight)
	start := time.Now()
	results := make([]*Result, len(g.Streams))
	var wg sync.WaitGroup
	for i, s := range g.Streams {
		results[i] = newResult(s.Name)
		l := &sender{stream: s, result: results[i], slots: slots, keep: g.Keep, seed: g.Seed + uint64(i)}
		wg.Go(func() { l.loop(ctx, start, start.Add(g.For)) })
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

// loop starts each call at its time until the stream ends, and waits for all.
func (l *sender) loop(ctx context.Context, start, end time.Time) {
	if l.stream.Stop > 0 {
		end = start.Add(l.stream.Stop)
	}
	a := newArrivals(l.stream.Rate, start.Add(l.stream.Start), l.seed)
	for a.next.Before(end) && sleepUntil(ctx, a.next) {
		l.start(ctx, a.next)
		a.advance()
	}
	l.calls.Wait()
}

func (l *sender) start(ctx context.Context, at time.Time) {
	select {
	case l.slots <- struct{}{}:
	default:
		l.result.drop()
		return
	}
	l.result.sent()
	l.count++
	c := &call{sender: l, at: at, request: l.stream.request(l.count)}
	l.calls.Go(func() { c.run(ctx) })
}

// call is one call in flight.
type call struct {
	sender  *sender
	at      time.Time
	request ffclient.Request
}

// run sends the call and records what became of it.
func (c *call) run(ctx context.Context) {
	defer func() { <-c.sender.slots }()
	s := c.sender.stream
	if s.GiveUp > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.at.Add(s.GiveUp))
		defer cancel()
	}
	done := Call{Stream: s.Name, Started: c.at, Request: c.request}
	if s.Once != "" {
		done.Answer, done.Err = s.Client.DoOnce(ctx, s.Once, c.request)
	} else {
		done.Answer, done.Err = s.Client.Do(ctx, c.request)
	}
	if s.Direct && done.Answer != nil && done.Answer.Status == http.StatusOK {
		done.Answer.Outcome = ffclient.OutcomeRan
	}
	done.Ended = time.Now()
	c.sender.result.record(done, s.Patience, c.sender.keep)
}

// sleepUntil waits until at and reports whether ctx still lives.
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
