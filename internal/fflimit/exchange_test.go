package fflimit

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// fakePeers passes requests to the handlers of other daemons. A daemon without a
// handler does not respond.
type fakePeers map[string]*Handler

func (p fakePeers) RequestLimits(ctx context.Context, vm ffmember.VM, req *ffprotocol.AskRequest) (*ffprotocol.AskResponse, error) {
	if h := p[vm.Name]; h != nil {
		return h.Ask(ctx, req)
	}
	<-ctx.Done()
	return nil, merry.Wrap(ctx.Err())
}

// singleContract implements Contracts with one contract.
type singleContract struct{ contract *ffconfig.Contract }

func (c singleContract) Contract(customer string) (*ffconfig.Contract, bool) {
	return c.contract, customer == c.contract.Customer
}

func TestExchangeSendsRequestsToAllocator(t *testing.T) {
	c := contract(1000, 1000, 1000)
	s := newSimulation(c, 1, 3, 1)
	peers := fakePeers{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	longAgo := time.Now().Add(-time.Hour)
	for _, d := range s.daemons {
		d.limiter = &Limiter{Holder: d.vm.Name}
		d.limiter.SetFleet(NewFleet(d.vm.Name, d.vm.DataCentre, s.vms, s.vms), longAgo)
		peers[d.vm.Name] = &Handler{Limiter: d.limiter, Contracts: func() Contracts { return singleContract{c} }, Clock: time.Now}
	}
	for _, d := range s.daemons {
		x := &Exchange{Limiter: d.limiter, Peers: peers, Clock: time.Now}
		wg.Go(func() { x.Run(ctx) })
	}
	for _, d := range s.daemons {
		for i := range 50 {
			permit, err := d.limiter.Acquire(ctx, c, time.Now)
			if err != nil {
				t.Fatalf("call %d at %s: %v", i, d.vm.Name, err)
			}
			permit.Release()
		}
	}
	cancel()
	wg.Wait()
}

func TestUnresponsiveAllocatorLeavesStaticQuota(t *testing.T) {
	c := contract(100, 100, 100)
	s := newSimulation(c, 1, 2, 1)
	other := 0
	if s.allocatorOf("dc-0/0") == s.daemons[0] {
		other = 1
	}
	l := &Limiter{Holder: "lone"}
	l.SetFleet(NewFleet(s.vms[other].Name, "dc-0", s.vms, s.vms), time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	x := &Exchange{Limiter: l, Peers: fakePeers{}, Clock: time.Now}
	var wg sync.WaitGroup
	wg.Go(func() { x.Run(ctx) })
	now := time.Now()
	passed := 0
	for range 100 {
		if permit, err := l.Acquire(ctx, c, func() time.Time { return now }); err == nil {
			passed++
			permit.Release()
		}
	}
	cancel()
	wg.Wait()
	if want := int(staticShare * 100 / 2); passed != want {
		t.Fatalf("%d calls were admitted at once, the static quota is %d", passed, want)
	}
}

func BenchmarkAdmit(b *testing.B) {
	l := &Limiter{}
	c := contract(1e6, 1_000_000, 1_000_000)
	now := time.Now()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			permit, err := l.Admit(c, now)
			if err == nil {
				permit.Release()
			}
		}
	})
}

func TestIdleAccountsAreEvicted(t *testing.T) {
	l := &Limiter{}
	c := contract(10, 10, 10)
	now := time.Now()
	permit, err := l.Admit(c, now)
	if err != nil {
		t.Fatal(err)
	}
	a := l.accountFor(c.Customer)
	l.evictIdleAccounts(now.Add(time.Hour))
	if l.accountFor(c.Customer) != a {
		t.Fatal("an account with a call in flight was evicted")
	}
	permit.Release()
	l.evictIdleAccounts(now.Add(time.Hour))
	if l.accountFor(c.Customer) == a {
		t.Fatal("an idle account was not evicted")
	}
}

func TestHandlerWithoutContractsGrantsNothing(t *testing.T) {
	h := &Handler{Limiter: &Limiter{}, Contracts: func() Contracts { return nil }, Clock: time.Now}
	resp, err := h.Ask(context.Background(), &ffprotocol.AskRequest{Asks: []*ffprotocol.LimitAsk{{Customer: "porter", Seq: 1, Tokens: 5}}})
	if err != nil || len(resp.GetAnswers()) != 1 || resp.GetAnswers()[0].GetTokens() != 0 {
		t.Fatalf("Ask returned %v, %v", resp, err)
	}
}
