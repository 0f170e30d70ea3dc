package ffsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffgenerator"
	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

// twins sends calls with a token through two daemons at once: the same call may
// run once only.
type twins struct {
	source source
	client *ffclient.Client
	// entries are the daemons, in the order of the client's addresses.
	entries []string
	seed    uint64
	pairs   sync.WaitGroup

	mu    sync.Mutex
	calls []Call
}

// run starts pairs in an open loop until a time, and waits for all.
func (t *twins) run(ctx context.Context, end time.Time) {
	random := rand.New(rand.NewPCG(t.seed, uint64(len(t.entries))))
	next := time.Now()
	for n := 1; ; n++ {
		gap := random.ExpFloat64() / t.source.stream.Rate
		next = next.Add(time.Duration(gap * float64(time.Second)))
		if next.After(end) || !sleepUntil(ctx, next) {
			break
		}
		p := &pair{twins: t, key: fmt.Sprintf("%s-%d", t.source.stream.Name, n), first: random.IntN(len(t.entries))}
		t.pairs.Go(func() { p.run(ctx) })
	}
	t.pairs.Wait()
}

// pair is one call that goes through two daemons.
type pair struct {
	twins *twins
	key   string
	first int
}

func (p *pair) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, giveUp)
	defer cancel()
	t := p.twins
	token, err := t.client.Mint(ctx, t.source.stream.Once)
	if err != nil {
		return
	}
	request := keyedRequest(t.source.stream.request(), p.key)
	request.Token = token
	var both sync.WaitGroup
	for i := range 2 {
		both.Go(func() { p.send(ctx, request, (p.first+i)%len(t.entries)) })
	}
	both.Wait()
}

func (p *pair) send(ctx context.Context, r ffclient.Request, entry int) {
	t := p.twins
	done := ffgenerator.Call{Started: time.Now(), Request: r}
	done.Answer, done.Err = t.client.DoAt(ctx, t.client.Addresses[entry], r)
	done.Ended = time.Now()
	s := source{stream: t.source.stream, entry: t.entries[entry]}
	call := s.call(done)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, call)
}

// keyedRequest returns a request with a key in its path and, but for reads, in its body.
func keyedRequest(r ffclient.Request, key string) ffclient.Request {
	r.Path += "?" + keyField + "=" + key
	if r.Method != http.MethodGet {
		r.Body = []byte("call " + key)
	}
	return r
}

// sorted returns the calls of all in the order of their start.
func sorted(calls ...[]Call) []Call {
	all := slices.Concat(calls...)
	slices.SortFunc(all, func(a, b Call) int { return a.Started.Compare(b.Started) })
	return all
}
