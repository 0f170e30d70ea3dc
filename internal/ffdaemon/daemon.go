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
	// fleetInterval is the time between two looks at the fleet for the limits.
	fleetInterval = 250 * time.Millisecond
	// leaveGrace is the time after a goodbye in which callers and peers may still
	// send work that was on its way.
	leaveGrace = 2 * time.Second
	// goneTimeout bounds the last message of a daemon.
	goneTimeout = time.Second
)

// peerServer serves the control messages of other daemons.
type peerServer struct{ *ffpeer.Server }

// forwardServer serves the calls of other daemons.
type forwardServer struct{ *ffpeer.Server }

// Daemon is the one process beside a target.
type Daemon struct {
	Settings Settings
	Off      switches
	Log      zerolog.Logger
	Trail    *ffaudit.Trail
	State    *state
	Node     *ffdistribution.Node
	Members  *ffdistribution.Members
	Limiter  *fflimit.Limiter
	Exchange *fflimit.Exchange
	Gate     *ffgate.Gate
	Callers  *ffcaller.Handler
	Operator *ffoperator.Handler
	Peers    peerServer
	Forward  forwardServer
	Remote   *ffforward.Client
}

// Run assembles a daemon, serves until ctx ends, and then leaves without cutting
// a call. Its error is an *Error.
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

// Run serves until ctx ends, and then leaves.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen(ctx)
	if err != nil {
		return err
	}
	d.Trail.Record(ffaudit.Event{Kind: ffaudit.KindDaemonStarted, Subject: d.Settings.Name})
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	callers := ffcaller.NewServer(d.Settings.CallerAddress, d.Callers, d.Log)
	operators := ffoperator.NewServer(d.Settings.OperatorAddress, d.Operator, d.Log)
	group.Go(func() error { return serve(callers, listeners.caller) })
	group.Go(func() error { return serve(operators, listeners.operator) })
	group.Go(func() error { return d.Peers.Serve(serving, listeners.peer) })
	group.Go(func() error { return d.Forward.Serve(serving, listeners.forward) })
	group.Go(func() error { return d.Node.Run(serving) })
	group.Go(func() error { d.Exchange.Run(serving); return nil })
	group.Go(func() error { return d.runFleet(serving) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			return d.leave(listeners.caller, callers, operators)
		case <-serving.Done():
			return errors.Join(callers.Close(), operators.Close())
		}
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return &Error{Op: "run", Kind: KindServe, Err: err}
	}
	return nil
}

// listeners are the open ports of a daemon.
type listeners struct {
	caller                  *ffport.Port
	operator, peer, forward net.Listener
}

func (d *Daemon) listen(ctx context.Context) (*listeners, error) {
	caller, err := ffport.Listen(ctx, d.Settings.CallerAddress)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	l := listeners{caller: caller}
	for _, one := range []struct {
		into    *net.Listener
		address string
	}{
		{&l.operator, d.Settings.OperatorAddress},
		{&l.peer, d.Settings.PeerAddress},
		{&l.forward, d.Settings.ForwardAddress},
	} {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", one.address)
		if err != nil {
			return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
		}
		*one.into = listener
	}
	return &l, nil
}

func serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// runFleet tells the limits of each change of the fleet.
func (d *Daemon) runFleet(ctx context.Context) error {
	if d.Off.aloneLimits {
		return nil
	}
	ticker := time.NewTicker(fleetInterval)
	defer ticker.Stop()
	var known *ffmember.View
	for {
		view := d.Members.View()
		if view != known {
			known = view
			d.Limiter.SetFleet(fflimit.NewFleet(d.Settings.Name, d.Settings.DataCentre, view.List().VMs(), view.All()), time.Now())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// leave announces that the VM takes no new work, finishes what is in flight and
// closes the ports. The callers' port is closed before their server, which would
// drop a request that it has just read if it were shut down.
func (d *Daemon) leave(port *ffport.Port, callers, operators *http.Server) error {
	deadline := time.Now().Add(d.Settings.DrainTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	d.State.draining.Store(true)
	d.Trail.Record(ffaudit.Event{Kind: ffaudit.KindDrainStarted, Subject: d.Settings.Name})
	d.Callers.Leave()
	d.Node.Leave(ctx)
	drained := d.Gate.Drain(ctx)
	wait(ctx, leaveGrace)
	if err := port.Finish(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("port of the callers closed at once")
	}
	d.Callers.Wait(ctx)
	stopped := callers.Close()
	d.Trail.Record(ffaudit.Event{Kind: ffaudit.KindDrainFinished, Subject: d.Settings.Name})
	last, done := context.WithTimeout(context.Background(), goneTimeout)
	defer done()
	d.Node.Gone(last)
	d.Remote.Close()
	return errors.Join(drained, stopped, operators.Close())
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
