package ffgenerator

import (
	"math/rand/v2"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

// Stream is a flow of calls of one customer.
type Stream struct {
	// Name names the stream in results.
	Name string
	// Client sends the calls, to its addresses in turn.
	Client *ffclient.Client
	// Request is what each call sends.
	Request ffclient.Request
	// Vary returns what the n-th call of the stream sends, counted from 1, when
	// the calls differ; nil when all send Request.
	Vary func(n uint64, r ffclient.Request) ffclient.Request
	// GiveUp is how long after its start a call is cancelled; never when zero.
	GiveUp time.Duration
	// Rate is the number of calls a second.
	Rate float64
	// Once names the route when each call is sent with a token until its outcome
	// is known; empty for a single attempt.
	Once string
	// Patience is how long after its start a call's answer is still wanted; calls
	// answered later count as late. No bound when zero.
	Patience time.Duration
	// Direct tells that targets answer without a daemon: status 200 stands for a call that ran.
	Direct bool
	// Start and Stop bound the stream within the run, from its start; zero Stop
	// stands for the end.
	Start, Stop time.Duration
}

// request returns what the n-th call sends.
func (s Stream) request(n uint64) ffclient.Request {
	if s.Vary == nil {
		return s.Request
	}
	return s.Vary(n, s.Request)
}

// arrivals gives the start times of the calls of a stream, as a Poisson process.
type arrivals struct {
	rate   float64
	random *rand.Rand
	next   time.Time
}

func newArrivals(rate float64, start time.Time, seed uint64) *arrivals {
	a := &arrivals{rate: rate, random: rand.New(rand.NewPCG(seed, 0)), next: start}
	a.advance()
	return a
}

func (a *arrivals) advance() {
	gap := a.random.ExpFloat64() / a.rate
	a.next = a.next.Add(time.Duration(gap * float64(time.Second)))
}
