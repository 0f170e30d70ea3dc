package ffnode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"fireflyfall.dev/fireflyfall/internal/ffpipeline"
	"fireflyfall.dev/fireflyfall/internal/ffport"
)

const (
	// headTimeout bounds the time in which the head of a request comes in.
	headTimeout = 10 * time.Second
	// peerIdle is longer than peers keep their idle connections.
	peerIdle = time.Minute
)

// servers are the HTTP servers of a daemon.
type servers struct {
	// port is the listener of the clients, and clients serves their connections.
	port    *ffport.Port
	clients *ffpipeline.Server
	others  []other
}

// other is a server of other daemons or of the platform.
type other struct {
	listener net.Listener
	server   *http.Server
}

func (sv *servers) add(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headTimeout, IdleTimeout: peerIdle}
	sv.others = append(sv.others, other{listener: l, server: s})
}

// serve starts every server in group.
func (sv *servers) serve(group *errgroup.Group) {
	group.Go(func() error { return ended(sv.clients.Serve(sv.port)) })
	for _, o := range sv.others {
		group.Go(func() error { return ended(o.server.Serve(o.listener)) })
	}
}

// ended returns why a server ended, nil if it was told to.
func ended(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// stopTaking closes the port of the clients and their idle connections. What was
// accepted before is still served.
func (sv *servers) stopTaking(ctx context.Context, log zerolog.Logger) {
	if err := sv.port.Finish(ctx); err != nil {
		log.Warn().Err(err).Msg("port of the clients closed at once")
	}
	sv.clients.CloseIdle()
}

// close ends every server and the connections to it.
func (sv *servers) close() {
	_ = sv.port.Close()
	sv.clients.Close()
	for _, o := range sv.others {
		_ = o.listener.Close()
		_ = o.server.Close()
	}
}
