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
	// readHeaderTimeout is the maximum time for reading the header of a request.
	readHeaderTimeout = 10 * time.Second
	// peerIdleTimeout is longer than the time for which peers keep idle connections.
	peerIdleTimeout = time.Minute
)

// servers are the HTTP servers of a daemon.
type servers struct {
	// clientPort is the listener for clients, and clients serves its connections.
	clientPort  *ffport.Listener
	clients     *ffpipeline.Server
	httpServers []httpServer
}

// httpServer serves other daemons, the readiness check or the metrics.
type httpServer struct {
	listener net.Listener
	server   *http.Server
}

func (sv *servers) add(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: peerIdleTimeout}
	sv.httpServers = append(sv.httpServers, httpServer{listener: l, server: s})
}

// serve starts each server in a goroutine of group.
func (sv *servers) serve(group *errgroup.Group) {
	group.Go(func() error { return ignoreClosed(sv.clients.Serve(sv.clientPort)) })
	for _, o := range sv.httpServers {
		group.Go(func() error { return ignoreClosed(o.server.Serve(o.listener)) })
	}
}

// ignoreClosed returns err, or nil if err says that the server was closed.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// closeClientPort closes the client port and the idle connections of clients.
// Requests on other accepted connections are still served.
func (sv *servers) closeClientPort(ctx context.Context, log zerolog.Logger) {
	if err := sv.clientPort.Shutdown(ctx); err != nil {
		log.Warn().Err(err).Msg("client port closed without waiting for pending connections")
	}
	sv.clients.CloseIdle()
}

// close closes all servers and their connections.
func (sv *servers) close() {
	_ = sv.clientPort.Close()
	sv.clients.Close()
	for _, o := range sv.httpServers {
		_ = o.listener.Close()
		_ = o.server.Close()
	}
}
