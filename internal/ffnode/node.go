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
	// defaultIdleTimeout is the idle timeout of client connections if the
	// configuration sets none.
	defaultIdleTimeout = time.Minute
	// idleSweepInterval is the interval of checks for expired idle connections.
	idleSweepInterval = 500 * time.Millisecond
)

// Node is the daemon of one VM.
type Node struct {
	Settings *atomic.Pointer[Settings]
	State    *ffgossip.State
	Gate     *ffinbound.Gate
	Client   *ffmeshpeer.Client
	Entry    *ffoutbound.Handler
	Budget   *ffoutbound.RetryBudget
	Gossip   *ffgossip.Node
	Reader   *ffgossip.Reader
	Store    Store
	Memory   *ffmesh.Memory
	Registry *prometheus.Registry
	Log      zerolog.Logger
}

// Run assembles a daemon and serves until ctx is done; then it drains the daemon so
// that no request is interrupted. Each value of reloads replaces the settings.
func Run(ctx context.Context, s Settings, reloads <-chan Settings, store Store, dialect ffmesh.Dialect, log zerolog.Logger) error {
	n, err := assemble(s, store, dialect, log)
	if err != nil {
		return err
	}
	return n.run(ctx, reloads)
}

func (n *Node) run(ctx context.Context, reloads <-chan Settings) error {
	s := n.Settings.Load()
	n.Log.Info().Stringer("callers", s.CallerAddress).Stringer("target", s.Target).Str("service", s.Service).Msg("start")
	n.State.OnChange = n.snapshotChanged
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	ready := &readyHandler{state: n.State}
	sv, err := n.listen(ctx, s, ready)
	if err != nil {
		return err
	}
	sv.serve(group)
	group.Go(func() error { return n.Gossip.Run(serving) })
	group.Go(func() error { n.runIdleSweeps(serving); return nil })
	group.Go(func() error { n.runReloads(serving, reloads); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			n.drain(sv, ready)
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

// listen opens the ports of the daemon and creates their servers.
func (n *Node) listen(ctx context.Context, s *Settings, ready *readyHandler) (*servers, error) {
	port, err := ffport.Listen(ctx, s.CallerAddress.String())
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	sv := &servers{
		clientPort: port,
		clients:    &ffpipeline.Server{Handler: n.Entry, MayRunAhead: n.Entry.MayRunConcurrently, Limits: n.clientLimits, Memory: n.Memory, Log: n.Log},
	}
	for _, endpoint := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{s.PeerAddress, n.peerHandler()},
		{s.ReadyAddress, ready},
		{s.MetricsAddress, metricsHandler(n.Registry)},
	} {
		l, err := net.Listen("tcp4", endpoint.address.String())
		if err != nil {
			sv.close()
			return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
		}
		sv.add(l, endpoint.handler)
	}
	return sv, nil
}

// peerHandler serves the calls of other daemons and their requests for the store's
// content.
func (n *Node) peerHandler() http.Handler {
	calls := &ffmeshpeer.Handler{Gate: n.Gate, Memory: n.Memory, Log: n.Log}
	content := &ffgossip.ContentHandler{State: n.State, Log: n.Log}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == ffgossip.ContentPath {
			content.ServeHTTP(w, r)
			return
		}
		if from, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
			n.Gossip.Called(from.Addr().Unmap())
		}
		calls.ServeHTTP(w, r)
	})
}

// snapshotChanged applies what changed in the snapshot w to this VM.
func (n *Node) snapshotChanged(w *ffgossip.Snapshot) {
	n.updateBudget(w)
	n.Gate.Refresh()
}

// updateBudget adapts the retry budget to the number of targets in w.
func (n *Node) updateBudget(w *ffgossip.Snapshot) {
	n.Budget.Set(n.Settings.Load().RetryBudget, w.Fleet.Len(), time.Now())
}

// clientLimits returns the limits for client requests from the configuration.
func (n *Node) clientLimits() ffpipeline.Limits {
	l := ffpipeline.Limits{IdleTimeout: defaultIdleTimeout}
	t := n.State.Table()
	if t == nil {
		return l
	}
	l.MaxHeaderBytes, l.ReadHeaderTimeout = t.Limits.HeaderBytes, t.Limits.HeaderTimeout
	if t.Limits.IdleTimeout > 0 {
		l.IdleTimeout = t.Limits.IdleTimeout
	}
	return l
}

// runIdleSweeps regularly closes expired idle connections to other daemons and to the
// target, until ctx is done.
func (n *Node) runIdleSweeps(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.Client.Trim(now)
			n.Gate.Pool.CloseExpired(now)
		}
	}
}
