package ffpeer

import (
	"context"
	"net"
	"sync"

	"github.com/rs/zerolog"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server serves the registered services to other daemons. The zero value is ready
// to use and has no services.
type Server struct {
	// Meter counts connections and bytes; if nil, the server creates one.
	Meter *Meter
	// MaxConnections bounds the open connections; 0 means 512.
	MaxConnections int
	// MaxMessageBytes bounds one message; 0 means 2 MiB.
	MaxMessageBytes int
	// Log receives connection errors at level debug.
	Log zerolog.Logger

	once sync.Once
	mux  *drpcmux.Mux
}

func (s *Server) init() {
	if s.Meter == nil {
		s.Meter = &Meter{}
	}
	if s.MaxConnections == 0 {
		s.MaxConnections = defaultMaxConnections
	}
	if s.MaxMessageBytes == 0 {
		s.MaxMessageBytes = defaultMaxMessageBytes
	}
	s.mux = drpcmux.New()
}

// Register adds a service; it must be called before Serve.
func (s *Server) Register(service any, description drpc.Description) error {
	s.once.Do(s.init)
	if err := s.mux.Register(service, description); err != nil {
		return &Error{Op: "register", Kind: KindRegister, Err: err}
	}
	return nil
}

// Serve serves connections from the listener until ctx ends, and closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.once.Do(s.init)
	server := drpcserver.NewWithOptions(s.mux, drpcserver.Options{
		Manager: managerOptions(s.MaxMessageBytes),
		Log:     func(err error) { s.Log.Debug().Err(err).Msg("peer connection") },
	})
	bounded := &boundedListener{
		Listener: listener,
		ctx:      ctx,
		meter:    s.Meter,
		slots:    make(chan struct{}, s.MaxConnections),
	}
	return server.Serve(ctx, bounded)
}

// boundedListener limits the number of open connections.
type boundedListener struct {
	net.Listener
	ctx   context.Context
	meter *Meter
	slots chan struct{}
}

// Accept waits for a free slot, then for a connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.ctx.Done():
		return nil, l.ctx.Err()
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	return newConn(c, l.meter, l.slots), nil
}
