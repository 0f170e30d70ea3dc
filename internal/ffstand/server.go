package ffstand

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// headerTimeout is the maximum time to read a request header.
	headerTimeout = 5 * time.Second
	// stopTimeout is how long a shutdown waits for calls in flight.
	stopTimeout = 30 * time.Second
)

// Server is an HTTP server with one handler and one listener.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Listen opens a listener on address (host and port) for handler.
func Listen(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindInput, Err: err}
	}
	return &Server{
		listener: listener,
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
	}, nil
}

// Address returns the host and port that s listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve runs the servers until ctx is done, then waits up to 30 s for calls in
// flight.
func Serve(ctx context.Context, servers ...*Server) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range servers {
		group.Go(s.run)
		group.Go(func() error { return s.stop(ctx) })
	}
	return group.Wait()
}

func (s *Server) run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "serve", Kind: KindInput, Err: err}
	}
	return nil
}

// stop waits until ctx is done and then shuts s down.
func (s *Server) stop(ctx context.Context) error {
	<-ctx.Done()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}
