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

// fakePeers hands asks to the handlers of other daemons; one that is not known is silent.
type fakePeers map[string]*Handler

func (p fakePeers) AskLimits(ctx context.Context, vm ffmember.VM, req *ffprotocol.AskRequest) (*ffprotocol.AskResponse, error) {
	if h := p[vm.Name]; h != nil {
		return h.Ask(ctx, req)
	}
	<-ctx.Done()
	return nil, merry.Wrap(ctx.Err())
}

// oneContract is a version with one contract.
type oneContract struct{ contract *ffconfig.Contract }

func (c oneContract) Contract(customer string) (*ffconfig.Contract, bool) {
	return c.contract, customer == c.contract.Customer
}

func TestExchangeCarriesAsksToTheAllocator(t *testing.T) {
	c := contract(1000, 1000, 1000)
	w := newWorld(c, 1, 3, 1)
	peers := fakePeers{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	long := time.Now().Add(-time.Hour)
	for _, d := range w.daemons {
		d.limiter = &Limiter{Holder: d.vm.Name}
		d.limiter.SetFleet(NewFleet(d.vm.Name, d.vm.DataCentre, w.vms, w.vms), long)
		peers[d.vm.Name] = &Handler{Limiter: d.limiter, Contracts: func() Contracts { return oneContract{c} }, Clock: time.Now}
	}
	for _, d := range w.daemons {
		x := &Exchange{Limiter: d.limiter, Peers: peers, Clock: time.Now}
		wg.Go(func() { x.Run(ctx) })
	}
	for _, d := range w.daemons {
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

func TestSilentAllocatorLeavesTheStaticPart(t *testing.T) {
	c := contract(100, 100, 100)
	w := newWorld(c, 1, 2, 1)
	other := 0
	if w.allocatorOf("dc-0/0") == w.daemons[0] {
		other = 1
	}
	l := &Limiter{Holder: "lone"}
	l.SetFleet(NewFleet(w.vms[other].Name, "dc-0", w.vms, w.vms), time.Now())
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
		t.Fatalf("%d calls passed at once, the static part is %d", passed, want)
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

func TestIdleAccountsAreForgotten(t *testing.T) {
	l := &Limiter{}
	c := contract(10, 10, 10)
	now := time.Now()
	permit, err := l.Admit(c, now)
	if err != nil {
		t.Fatal(err)
	}
	a := l.accountOf(c.Customer)
	l.forget(now.Add(time.Hour))
	if l.accountOf(c.Customer) != a {
		t.Fatal("an account with a call in flight was forgotten")
	}
	permit.Release()
	l.forget(now.Add(time.Hour))
	if l.accountOf(c.Customer) == a {
		t.Fatal("an idle account was kept")
	}
}

func TestHandlerWithoutContractsGrantsNothing(t *testing.T) {
	h := &Handler{Limiter: &Limiter{}, Contracts: func() Contracts { return nil }, Clock: time.Now}
	resp, err := h.Ask(context.Background(), &ffprotocol.AskRequest{Asks: []*ffprotocol.LimitAsk{{Customer: "porter", Seq: 1, Tokens: 5}}})
	if err != nil || len(resp.GetAnswers()) != 1 || resp.GetAnswers()[0].GetTokens() != 0 {
		t.Fatalf("%v, %v", resp, err)
	}
}
