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
	// headerTimeout bounds the time in which a request header must arrive.
	headerTimeout = 5 * time.Second
	// stopTimeout bounds the time in which calls in flight end at a stop.
	stopTimeout = 30 * time.Second
)

// Server serves one handler on one listener.
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

// Serve serves every server until ctx is done, then lets calls in flight end.
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

// stop waits for ctx and then shuts s down.
func (s *Server) stop(ctx context.Context) error {
	<-ctx.Done()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}
