package ffrelay

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// dialTimeout bounds the time in which upstream must accept a connection.
const dialTimeout = 2 * time.Second

const (
	// listenTries bounds the tries to listen on an address that is in use.
	listenTries = 100
	// listenPause is the time between them.
	listenPause = 10 * time.Millisecond
)

// Relay passes connections from one address on to another.
type Relay struct {
	address  string
	upstream string
	// detached tells that a split accepts the connections.
	detached bool
	loops    sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	links    map[*link]struct{}
	fault    Fault
	// epoch counts the faults, changed is closed at the next one.
	epoch   uint64
	changed chan struct{}
	closed  bool
}

// New returns a relay that listens on one address (host and port) and passes
// connections on to another.
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

// SetFault replaces the fault; the zero Fault ends it.
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
		r.cut()
		return nil
	case FaultSilentOpen:
		r.silence(f)
	default:
	}
	return r.listen()
}

// Close resets every connection and waits until all are gone.
func (r *Relay) Close() {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.changed)
	}
	r.cut()
	r.mu.Unlock()
	r.loops.Wait()
}

// listen opens the listener if it is not open.
func (r *Relay) listen() error {
	if r.listener != nil || r.detached {
		return nil
	}
	listener, err := listenSoon(r.address)
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	r.address = listener.Addr().String()
	r.listener = listener
	r.loops.Go(func() { r.loop(listener) })
	return nil
}

// listenSoon listens on an address and tries again while it is in use: a process
// that is being started elsewhere in this program holds a closed port until its exec.
func listenSoon(address string) (net.Listener, error) {
	for range listenTries {
		listener, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
		time.Sleep(listenPause)
	}
	return net.Listen("tcp", address)
}

// cut closes the listener and resets every connection.
func (r *Relay) cut() {
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
	for l := range r.links {
		l.reset()
	}
}

// silence makes the open connections silent for good.
func (r *Relay) silence(f Fault) {
	for l := range r.links {
		l.silence(f)
	}
}

// loop accepts connections until listener is closed.
func (r *Relay) loop(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		r.loops.Go(func() { r.pass(client) })
	}
}

// pass connects to upstream and passes bytes until both directions have ended.
func (r *Relay) pass(client net.Conn) {
	upstream, err := net.DialTimeout("tcp", r.upstream, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	l := newLink(r, client, upstream)
	if !r.add(l) {
		l.reset()
		return
	}
	l.run()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// add reports whether a new connection may live.
func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.fault.Kind == FaultCut {
		return false
	}
	r.links[l] = struct{}{}
	return true
}

// view is the fault at one moment.
type view struct {
	fault   Fault
	epoch   uint64
	changed <-chan struct{}
}

func (r *Relay) view() view {
	r.mu.Lock()
	defer r.mu.Unlock()
	return view{fault: r.fault, epoch: r.epoch, changed: r.changed}
}
