package ffexperiment

import (
	"context"
	"errors"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffplatform"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// pollInterval is the pause of a poller between two reads of the manifest.
const pollInterval = time.Second

// unlimited is a rate limiter for platform requests that never waits.
type unlimited struct{}

// Wait returns at once.
func (unlimited) Wait(context.Context) error { return nil }

// poller is the baseline for the distribution of versions. It reads the manifest from
// the platform at an interval and fetches every piece that it does not have yet.
type poller struct {
	client   *ffplatform.Client
	interval time.Duration
	pieces   map[ffconfig.Digest]bool

	mu      sync.Mutex
	version ffconfig.Version
	at      time.Time
}

func newPoller(address string, interval time.Duration) *poller {
	return &poller{
		client:   ffplatform.NewClient([]string{address}, unlimited{}, nil),
		interval: interval,
		pieces:   make(map[ffconfig.Digest]bool),
	}
}

// run polls until the context ends.
func (p *poller) run(ctx context.Context) {
	defer p.client.Close()
	for ctx.Err() == nil {
		_ = p.poll(ctx)
		pause(ctx, p.interval)
	}
}

func (p *poller) poll(ctx context.Context) error {
	value, err := p.client.Read(ctx, "manifest")
	if err != nil {
		return err
	}
	m, v, err := ffconfig.DecodeManifest(value.Content)
	if err != nil {
		return err
	}
	var missing error
	for _, ref := range m.Pieces {
		missing = errors.Join(missing, p.fetch(ctx, ref.Digest))
	}
	if missing != nil {
		return missing
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if v != p.version {
		p.version = v
		p.at = time.Now()
	}
	return nil
}

func (p *poller) fetch(ctx context.Context, d ffconfig.Digest) error {
	if p.pieces[d] {
		return nil
	}
	if _, err := p.client.Read(ctx, "pieces/"+string(d)); err != nil {
		return err
	}
	p.pieces[d] = true
	return nil
}

// receivedAt reports whether the poller's current version is v, and if so when it was
// received.
func (p *poller) receivedAt(v ffconfig.Version) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at, p.version == v
}

// pollers is a fleet of pollers.
type pollers struct {
	all    []*poller
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func startPollers(ctx context.Context, address string, n int, interval time.Duration) *pollers {
	ctx, cancel := context.WithCancel(ctx)
	f := &pollers{cancel: cancel}
	for range n {
		p := newPoller(address, interval)
		f.all = append(f.all, p)
		f.wg.Go(func() { p.run(ctx) })
	}
	return f
}

func (f *pollers) close() {
	f.cancel()
	f.wg.Wait()
}

// await waits until every poller has a version and returns the time at which the last
// one received it. It returns an error of KindRun if the context ends first.
func (f *pollers) await(ctx context.Context, v ffconfig.Version) (time.Time, error) {
	var last time.Time
	for _, p := range f.all {
		for {
			at, ok := p.receivedAt(v)
			if ok {
				if at.After(last) {
					last = at
				}
				break
			}
			if ctx.Err() != nil {
				return last, &Error{Op: "await pollers", Kind: KindRun, Err: ctx.Err()}
			}
			pause(ctx, pollInterval/50)
		}
	}
	return last, nil
}
