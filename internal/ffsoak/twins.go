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

// duplicates sends each call through two daemons concurrently with one token;
// the call may run only once.
type duplicates struct {
	source source
	client *ffclient.Client
	// entries are the daemons, in the order of the client's addresses.
	entries []string
	seed    uint64
	pairs   sync.WaitGroup

	mu    sync.Mutex
	calls []Call
}

// run starts pairs in an open loop until end, and waits for all.
func (t *duplicates) run(ctx context.Context, end time.Time) {
	random := rand.New(rand.NewPCG(t.seed, uint64(len(t.entries))))
	next := time.Now()
	for n := 1; ; n++ {
		gap := random.ExpFloat64() / t.source.stream.Rate
		next = next.Add(time.Duration(gap * float64(time.Second)))
		if next.After(end) || !sleepUntil(ctx, next) {
			break
		}
		p := &pair{duplicates: t, key: fmt.Sprintf("%s-%d", t.source.stream.Name, n), first: random.IntN(len(t.entries))}
		t.pairs.Go(func() { p.run(ctx) })
	}
	t.pairs.Wait()
}

// pair is one call that goes through two daemons.
type pair struct {
	duplicates *duplicates
	key        string
	first      int
}

func (p *pair) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t := p.duplicates
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
	t := p.duplicates
	done := ffgenerator.Call{Started: time.Now(), Request: r}
	done.Answer, done.Err = t.client.DoAt(ctx, t.client.Addresses[entry], r)
	done.Ended = time.Now()
	s := source{stream: t.source.stream, entry: t.entries[entry]}
	call := s.call(done)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, call)
}

// keyedRequest returns a request with a key in its path and, except for GET, in its body.
func keyedRequest(r ffclient.Request, key string) ffclient.Request {
	r.Path += "?" + keyField + "=" + key
	if r.Method != http.MethodGet {
		r.Body = []byte("call " + key)
	}
	return r
}

// sorted returns all calls, ordered by start.
func sorted(calls ...[]Call) []Call {
	all := slices.Concat(calls...)
	slices.SortFunc(all, func(a, b Call) int { return a.Started.Compare(b.Started) })
	return all
}
