package ffnode

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"fireflyfall.dev/fireflyfall/internal/ffgossip"
	"fireflyfall.dev/fireflyfall/internal/ffinbound"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffmeshpeer"
	"fireflyfall.dev/fireflyfall/internal/ffoutbound"
	"fireflyfall.dev/fireflyfall/internal/ffpipeline"
	"fireflyfall.dev/fireflyfall/internal/ffport"
)

const (
	// defaultIdle is how long an idle client keeps its connection while no
	// configuration says.
	defaultIdle = time.Minute
	// sweepEvery is the interval of looks at idle connections.
	sweepEvery = 500 * time.Millisecond
)

// Node is the daemon beside a target.
type Node struct {
	Settings *atomic.Pointer[Settings]
	State    *ffgossip.State
	Gate     *ffinbound.Gate
	Client   *ffmeshpeer.Client
	Entry    *ffoutbound.Handler
	Budget   *ffoutbound.Budget
	Gossip   *ffgossip.Node
	Memory   *ffmesh.Memory
	Registry *prometheus.Registry
	Log      zerolog.Logger
}

// Run assembles a daemon and serves until ctx ends; then it leaves without
// cutting a request. Each value of reloads replaces the settings.
func Run(ctx context.Context, s Settings, reloads <-chan Settings, source ffgossip.Source, dialect ffmesh.Dialect, log zerolog.Logger) error {
	n, err := assemble(s, source, dialect, log)
	if err != nil {
		return err
	}
	return n.run(ctx, reloads)
}

func (n *Node) run(ctx context.Context, reloads <-chan Settings) error {
	s := n.Settings.Load()
	n.Log.Info().Stringer("callers", s.Callers).Stringer("target", s.Target).Str("service", s.Service).Msg("start")
	n.State.Changed = n.changed
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	ready := &ready{state: n.State}
	sv, err := n.listen(ctx, s, ready)
	if err != nil {
		return err
	}
	sv.serve(group)
	group.Go(func() error { return n.Gossip.Run(serving) })
	group.Go(func() error { n.runSweeps(serving); return nil })
	group.Go(func() error { n.runReloads(serving, reloads); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			n.leave(sv, ready)
		case <-serving.Done():
		}
		stop()
		sv.close()
		return nil
	})
	err = group.Wait()
	n.Log.Info().AnErr("err", err).Msg("stop")
	if err != nil {
		return &Error{Op: "run", Kind: KindServe, Err: err}
	}
	return nil
}

// listen opens the ports of the daemon.
func (n *Node) listen(ctx context.Context, s *Settings, ready *ready) (*servers, error) {
	port, err := ffport.Listen(ctx, s.Callers.String())
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	sv := &servers{
		port:    port,
		clients: &ffpipeline.Server{Handler: n.Entry, Ahead: n.Entry.Ahead, Limits: n.limits, Log: n.Log},
	}
	for _, one := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{s.Peers, n.peerHandler()},
		{s.Ready, ready},
		{s.Metrics, metricsHandler(n.Registry)},
	} {
		l, err := net.Listen("tcp4", one.address.String())
		if err != nil {
			sv.close()
			return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
		}
		sv.add(l, one.handler)
	}
	return sv, nil
}

// peerHandler serves the calls of other daemons, and the word.
func (n *Node) peerHandler() http.Handler {
	calls := &ffmeshpeer.Handler{Gate: n.Gate, Memory: n.Memory, Log: n.Log}
	word := &ffgossip.ContentHandler{State: n.State, Log: n.Log}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == ffgossip.ContentPath {
			word.ServeHTTP(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// changed takes up new content of the word.
func (n *Node) changed(w *ffgossip.Word) {
	n.Budget.Set(n.Settings.Load().Repeats, w.Fleet.Len())
}

// limits returns what the configuration says of clients.
func (n *Node) limits() ffpipeline.Limits {
	l := ffpipeline.Limits{IdleTime: defaultIdle}
	t := n.State.Table()
	if t == nil {
		return l
	}
	l.HeadBytes, l.HeadTime = t.Limits.HeaderBytes, t.Limits.HeaderTimeout
	if t.Limits.IdleTimeout > 0 {
		l.IdleTime = t.Limits.IdleTimeout
	}
	return l
}

// runSweeps closes idle connections to other daemons and the target that are past
// their time.
func (n *Node) runSweeps(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.Client.Trim(now)
			n.Gate.Pool.Trim(now)
		}
	}
}

// runReloads takes up changed settings.
func (n *Node) runReloads(ctx context.Context, reloads <-chan Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-reloads:
			n.Settings.Store(&s)
			n.Budget.Set(s.Repeats, n.State.Fleet().Len())
			n.Log.Info().Str("service", s.Service).Stringer("target", s.Target).Msg("reload")
		}
	}
}
