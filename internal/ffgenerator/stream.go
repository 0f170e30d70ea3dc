package ffgenerator

import (
	"math/rand/v2"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

// Stream describes a sequence of calls of one customer at a constant mean rate.
type Stream struct {
	// Name identifies the stream in results.
	Name string
	// Client sends the calls to its addresses in turn.
	Client *ffclient.Client
	// Request is the request of each call.
	Request ffclient.Request
	// RequestFor returns the request of the n-th call, counted from 1, given Request;
	// nil when all calls send Request.
	RequestFor func(n uint64, r ffclient.Request) ffclient.Request
	// Timeout is how long after its scheduled start a call is cancelled; never when
	// zero.
	Timeout time.Duration
	// Rate is the mean number of calls per second.
	Rate float64
	// OnceRoute is the route of the calls when each is sent with a token and repeated
	// until its outcome is known; empty for a single attempt.
	OnceRoute string
	// LateAfter is the latency above which an answered call counts as late; no limit
	// when zero.
	LateAfter time.Duration
	// Direct marks calls that go to a target without a daemon, where status 200
	// means that the call ran.
	Direct bool
	// Start and Stop limit the stream to a part of the run, as offsets from the
	// start of the run; zero Stop means the end of the run.
	Start, Stop time.Duration
}

// request returns the request of the n-th call.
func (s Stream) request(n uint64) ffclient.Request {
	if s.RequestFor == nil {
		return s.Request
	}
	return s.RequestFor(n, s.Request)
}

// arrivals generates the start times of the calls of a stream as a Poisson process.
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

// advance sets next to the following start time.
func (a *arrivals) advance() {
	gap := a.random.ExpFloat64() / a.rate
	a.next = a.next.Add(time.Duration(gap * float64(time.Second)))
}
