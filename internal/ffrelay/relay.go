package ffrelay

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// dialTimeout limits a connection attempt to the upstream.
const dialTimeout = 2 * time.Second

const (
	// listenTries is the maximum number of attempts to listen on an address that is in use.
	listenTries = 100
	// listenPause is the pause between attempts.
	listenPause = 10 * time.Millisecond
)

// Relay proxies TCP connections from one address to another.
type Relay struct {
	address  string
	upstream string
	// detached is set if a Split accepts the connections instead of the relay.
	detached   bool
	goroutines sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	links    map[*link]struct{}
	fault    Fault
	// epoch counts the calls of SetFault; changed is closed on the next one.
	epoch   uint64
	changed chan struct{}
	closed  bool
}

// New returns a relay that listens on one address (host and port) and forwards
// connections to upstream (host and port).
func New(listen, upstream string) (*Relay, error) {
	r := &Relay{
		address:  listen,
		upstream: upstream,
		links:    make(map[*link]struct{}),
		changed:  make(chan struct{}),
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	return r, nil
}

// Address returns the host and port that the relay listens on.
func (r *Relay) Address() string { return r.address }

// SetFault replaces the current fault; the zero Fault removes it.
func (r *Relay) SetFault(f Fault) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return &Error{Op: "set fault", Kind: KindClosed, Err: merry.New("the relay is closed")}
	}
	r.fault = f
	r.epoch++
	close(r.changed)
	r.changed = make(chan struct{})
	switch f.Kind {
	case FaultCut:
		return r.disconnect()
	case FaultSilentOpen:
		r.silence(f)
	default:
	}
	return r.listen()
}

// Close resets every connection and waits until all of their goroutines have ended.
func (r *Relay) Close() {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.changed)
	}
	_ = r.disconnect()
	r.mu.Unlock()
	r.goroutines.Wait()
}

// listen opens the listener if the relay has its own and it is not open.
func (r *Relay) listen() error {
	if r.listener != nil || r.detached {
		return nil
	}
	listener, err := listenWithRetry(r.address)
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	r.address = listener.Addr().String()
	r.listener = listener
	r.goroutines.Go(func() { r.acceptLoop(listener) })
	return nil
}

// listenWithRetry listens on an address and retries while it is in use: a child process
// forked by this program inherits the listening socket and keeps the port in use until
// its exec.
func listenWithRetry(address string) (net.Listener, error) {
	for range listenTries {
		listener, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
		time.Sleep(listenPause)
	}
	return net.Listen("tcp", address)
}

// disconnect closes the listener and resets every connection.
func (r *Relay) disconnect() error {
	var err error
	if r.listener != nil {
		err = errors.Join(stopListening(r.listener), r.listener.Close())
		r.listener = nil
	}
	for l := range r.links {
		l.reset()
	}
	if err != nil {
		return &Error{Op: "stop listening", Kind: KindListen, Err: err}
	}
	return nil
}

// stopListening makes the port refuse connections even while a child process forked by this
// program has inherited the listening socket.
func stopListening(l net.Listener) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var shutdownErr error
	err = raw.Control(func(fd uintptr) { shutdownErr = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	return errors.Join(err, shutdownErr)
}

// silence permanently discards the bytes of the open connections in the directions of f.
func (r *Relay) silence(f Fault) {
	for l := range r.links {
		l.silence(f)
	}
}

// acceptLoop accepts connections until listener is closed.
func (r *Relay) acceptLoop(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Go(func() { r.serve(client) })
	}
}

// serve connects to the upstream and forwards bytes until both directions have ended.
func (r *Relay) serve(client net.Conn) {
	upstream, err := net.DialTimeout("tcp", r.upstream, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	l := newLink(r, client, upstream)
	if !r.addLink(l) {
		l.reset()
		return
	}
	l.run()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// addLink registers a new connection. It returns false if the relay is closed or cut.
func (r *Relay) addLink(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.fault.Kind == FaultCut {
		return false
	}
	r.links[l] = struct{}{}
	return true
}

// faultState is a copy of the current fault.
type faultState struct {
	fault   Fault
	epoch   uint64
	changed <-chan struct{}
}

func (r *Relay) faultState() faultState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return faultState{fault: r.fault, epoch: r.epoch, changed: r.changed}
}
