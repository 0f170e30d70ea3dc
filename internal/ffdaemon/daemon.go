package ffdaemon

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/internal/ffcaller"
	"fireflyfall.dev/fireflyfall/internal/ffdistribution"
	"fireflyfall.dev/fireflyfall/internal/ffforward"
	"fireflyfall.dev/fireflyfall/internal/ffgate"
	"fireflyfall.dev/fireflyfall/internal/fflimit"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffoperator"
	"fireflyfall.dev/fireflyfall/internal/ffpeer"
	"fireflyfall.dev/fireflyfall/internal/ffport"
)

const (
	// fleetPollInterval is the interval at which the limiter's fleet is updated.
	fleetPollInterval = 250 * time.Millisecond
	// leaveGracePeriod is the time after draining in which callers and peers that
	// have not yet learned that the VM is leaving may still send work.
	leaveGracePeriod = 2 * time.Second
	// goneTimeout is the timeout for announcing to the peers that the daemon is gone.
	goneTimeout = time.Second
)

// peerServer serves control messages from other daemons. It is a type of its own
// so that wire can distinguish it from forwardServer.
type peerServer struct{ *ffpeer.Server }

// forwardServer serves calls from other daemons.
type forwardServer struct{ *ffpeer.Server }

// Daemon is the proxy process that runs beside a target on its VM.
type Daemon struct {
	Settings      Settings
	Off           switches
	Log           zerolog.Logger
	Trail         *ffaudit.Trail
	State         *state
	Node          *ffdistribution.Node
	Members       *ffdistribution.Members
	Limiter       *fflimit.Limiter
	Exchange      *fflimit.Exchange
	Gate          *ffgate.Gate
	CallerHandler *ffcaller.Handler
	Operator      *ffoperator.Handler
	PeerServer    peerServer
	ForwardServer forwardServer
	ForwardClient *ffforward.Client
}

// Run assembles a daemon, serves until ctx ends, and then shuts down gracefully:
// calls in flight are completed within the drain timeout.
func Run(ctx context.Context, s Settings, logs io.Writer) error {
	if err := s.Validate(); err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return &Error{Op: "read settings", Kind: KindSettings, Err: err}
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(logs).Level(level).With().Timestamp().Str("vm", s.Name).Logger()
	d, err := assemble(s, log)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// Run serves until ctx ends, and then shuts down gracefully. Its error is an *Error.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen(ctx)
	if err != nil {
		return err
	}
	d.Trail.Record(ffaudit.Event{Kind: ffaudit.KindDaemonStarted, Subject: d.Settings.Name})
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serveCtx := errgroup.WithContext(serveCtx)
	callers := ffcaller.NewServer(d.Settings.CallerAddress, d.CallerHandler, d.Log)
	operators := ffoperator.NewServer(d.Settings.OperatorAddress, d.Operator, d.Log)
	group.Go(func() error { return serve(callers, listeners.caller) })
	group.Go(func() error { return serve(operators, listeners.operator) })
	group.Go(func() error { return d.PeerServer.Serve(serveCtx, listeners.peer) })
	group.Go(func() error { return d.ForwardServer.Serve(serveCtx, listeners.forward) })
	group.Go(func() error { return d.Node.Run(serveCtx) })
	group.Go(func() error { d.Exchange.Run(serveCtx); return nil })
	group.Go(func() error { return d.updateLimiterFleet(serveCtx) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			return d.shutdown(listeners.caller, callers, operators)
		case <-serveCtx.Done():
			return errors.Join(callers.Close(), operators.Close())
		}
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return &Error{Op: "run", Kind: KindServe, Err: err}
	}
	return nil
}

// listeners holds the open listeners of a daemon.
type listeners struct {
	caller                  *ffport.Listener
	operator, peer, forward net.Listener
}

// listen opens the listeners of the daemon.
func (d *Daemon) listen(ctx context.Context) (*listeners, error) {
	caller, err := ffport.Listen(ctx, d.Settings.CallerAddress)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	l := listeners{caller: caller}
	for _, spec := range []struct {
		dest    *net.Listener
		address string
	}{
		{&l.operator, d.Settings.OperatorAddress},
		{&l.peer, d.Settings.PeerAddress},
		{&l.forward, d.Settings.ForwardAddress},
	} {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", spec.address)
		if err != nil {
			return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
		}
		*spec.dest = listener
	}
	return &l, nil
}

// serve serves until the server or the listener is closed, which is not an error.
func serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// updateLimiterFleet passes each change of the fleet to the limiter, until ctx ends.
func (d *Daemon) updateLimiterFleet(ctx context.Context) error {
	if d.Off.noSharedLimits {
		return nil
	}
	ticker := time.NewTicker(fleetPollInterval)
	defer ticker.Stop()
	var last *ffmember.View
	for {
		view := d.Members.View()
		if view != last {
			last = view
			d.Limiter.SetFleet(fflimit.NewFleet(d.Settings.Name, d.Settings.DataCentre, view.List().VMs(), view.AllLive()), time.Now())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// shutdown announces that the VM takes no new work, waits for the calls in flight
// and closes the listeners. It closes the callers' listener before their server:
// http.Server.Shutdown could drop a request that has just been read.
func (d *Daemon) shutdown(port *ffport.Listener, callers, operators *http.Server) error {
	deadline := time.Now().Add(d.Settings.DrainTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	d.State.draining.Store(true)
	d.Trail.Record(ffaudit.Event{Kind: ffaudit.KindDrainStarted, Subject: d.Settings.Name})
	d.CallerHandler.DisableKeepAlives()
	d.Node.AnnounceLeaving(ctx)
	drainErr := d.Gate.Drain(ctx)
	sleep(ctx, leaveGracePeriod)
	if err := port.Shutdown(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("callers' listener closed before all pending connections were accepted")
	}
	d.CallerHandler.WaitIdle(ctx)
	closeErr := callers.Close()
	d.Trail.Record(ffaudit.Event{Kind: ffaudit.KindDrainFinished, Subject: d.Settings.Name})
	goneCtx, cancelGone := context.WithTimeout(context.Background(), goneTimeout)
	defer cancelGone()
	d.Node.AnnounceGone(goneCtx)
	d.ForwardClient.Close()
	return errors.Join(drainErr, closeErr, operators.Close())
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
