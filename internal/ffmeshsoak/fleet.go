package ffmeshsoak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffprocess"
	"fireflyfall.dev/fireflyfall/internal/ffrelay"
	"fireflyfall.dev/fireflyfall/platform"
	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

const (
	service = "desk"
	slots   = 4
	// lastingVersions is the number of latest versions whose own route is kept.
	lastingVersions = 4
	// beatEvery is the interval of the targets' heartbeats.
	beatEvery = 500 * time.Millisecond
	// work is how long a target works on a request.
	work = 20 * time.Millisecond
)

// fleet is the store, the targets, the relays and the daemons of a soak.
type fleet struct {
	store   ffstandin.Store
	server  *httptest.Server
	group   ffprocess.Group
	program string
	// behave says what every target does with a request.
	behave atomic.Pointer[func(*http.Request) ffstandin.Behaviour]
	dir    string
	vms    []*vm

	mu      sync.Mutex
	version int
	born    int
	targets []*ffstandin.Target
	// late are the lines of daemons that did not end in time, with their stacks.
	late []string
}

// vm is one VM of the fleet.
type vm struct {
	place ffstandin.Place
	// store and target are the links of the daemon to the store and to its target.
	store, target *ffrelay.Relay
	settings      string

	// mu is held while the VM's daemon is harmed.
	mu      sync.Mutex
	process *ffprocess.Process

	beating sync.Mutex
	running *ffstandin.Target
	entry   ffstandin.Entry
}

// newFleet starts the stand-ins and n VMs, each on a loopback address of its own.
func newFleet(program, dir string, n int) (*fleet, error) {
	f := &fleet{program: program, dir: dir}
	f.setBehaviour(func(*http.Request) ffstandin.Behaviour { return ffstandin.Behaviour{Work: work} })
	f.server = httptest.NewServer(&f.store)
	f.publish()
	ports, err := freePorts()
	if err != nil {
		return nil, err
	}
	for i := range n {
		v, err := f.newVM(i, ports)
		if err != nil {
			return nil, err
		}
		f.vms = append(f.vms, v)
	}
	return f, nil
}

func (f *fleet) setBehaviour(b func(*http.Request) ffstandin.Behaviour) { f.behave.Store(&b) }

// Ports that every VM uses, the same on all of them.
const (
	portCallers = iota
	portPeers
	portReady
	portTarget
	portHeartbeats
	portMetrics
	portCount
)

func host(i int) string { return fmt.Sprintf("127.%d.0.%d", 20+os.Getpid()%200, i+2) }

// freePorts returns ports on which nothing listens on any VM's address.
func freePorts() ([portCount]int, error) {
	var ports [portCount]int
	addresses, err := ffprocess.FreeAddressesAt(netip.IPv4Unspecified(), portCount)
	if err != nil {
		return ports, err
	}
	for i, a := range addresses {
		ports[i] = int(netip.MustParseAddrPort(a).Port())
	}
	return ports, nil
}

func (f *fleet) newVM(i int, ports [portCount]int) (*vm, error) {
	at := func(port int) string { return net.JoinHostPort(host(i), strconv.Itoa(ports[port])) }
	v := &vm{place: ffstandin.Place{
		Name: fmt.Sprint("vm-", i), DataCentre: "dc-" + string(rune('a'+i%2)), Service: service,
		Callers: at(portCallers), Peers: at(portPeers), Ready: at(portReady), Target: at(portTarget),
		Heartbeats: ports[portHeartbeats], Metrics: ports[portMetrics],
	}}
	l, err := net.Listen("tcp4", net.JoinHostPort(host(i), "0"))
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindStart, Err: err}
	}
	if v.target, err = ffrelay.New(v.place.Target, l.Addr().String()); err != nil {
		return nil, err
	}
	if v.store, err = ffrelay.New(net.JoinHostPort(host(i), "0"), strings.TrimPrefix(f.server.URL, "http://")); err != nil {
		return nil, err
	}
	v.place.Store = v.store.Address()
	v.settings = filepath.Join(f.dir, v.place.Name+".conf")
	if err := os.WriteFile(v.settings, v.place.Settings(), 0o600); err != nil {
		return nil, &Error{Op: "write settings", Kind: KindStart, Err: err}
	}
	f.replace(v)
	go f.runTarget(v, l)
	return v, nil
}

// replace puts a new life of the target on a VM, and its entry into the store.
func (f *fleet) replace(v *vm) {
	f.mu.Lock()
	f.born++
	id := fmt.Sprint("i-", v.place.Name, "-", f.born)
	t := &ffstandin.Target{ID: id, Behave: func(r *http.Request) ffstandin.Behaviour { return (*f.behave.Load())(r) }}
	f.targets = append(f.targets, t)
	born := int64(f.born)
	f.mu.Unlock()
	v.beating.Lock()
	defer v.beating.Unlock()
	v.running = t
	v.entry = ffstandin.Entry{
		ID: id, Service: service, Address: v.place.Target, DataCentre: v.place.DataCentre,
		State: "ready", Slots: slots, Born: born,
	}
	f.store.PutEntry(v.entry)
}

// runTarget hands each connection to the target that runs at that moment.
func (f *fleet) runTarget(v *vm, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		v.beating.Lock()
		t := v.running
		v.beating.Unlock()
		go t.ServeConn(c)
	}
}

// runBeats writes the targets' entries until ctx ends.
func (f *fleet) runBeats(ctx context.Context) {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, v := range f.vms {
			v.beating.Lock()
			v.entry.Sequence++
			f.store.PutEntry(v.entry)
			v.beating.Unlock()
		}
	}
}

// publish writes the next version, with a route of its own, and returns it.
func (f *fleet) publish() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	routes := []ffstandin.Route{{Name: "safe", Kind: "safe", Service: service}, {Name: "once", Kind: "unsafe", Service: service}}
	for v := max(1, f.version-lastingVersions+1); v <= f.version; v++ {
		routes = append(routes, ffstandin.Route{Name: routeOf(v), Kind: "safe", Service: service})
	}
	f.store.PutVersion(f.version, routes)
	return f.version
}

func routeOf(version int) string { return fmt.Sprint("v", version) }

func (f *fleet) latest() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// start runs the daemon of a VM and waits until it is ready.
func (f *fleet) start(ctx context.Context, v *vm, wait bool) error {
	spec := ffprocess.Spec{Name: v.place.Name, Path: f.program, Args: []string{"mesh"}, Env: []string{platform.SettingsVariable + "=" + v.settings}}
	if wait {
		spec.ReadyURL = "http://" + v.place.Ready + "/fireflyfall/ready"
	}
	p, err := f.group.Start(ctx, spec)
	if err != nil {
		return err
	}
	v.process = p
	return nil
}

// runs returns the runs of every target so far, by request.
func (f *fleet) runs() map[string][]ffstandin.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[string][]ffstandin.Run)
	for _, t := range f.targets {
		for _, r := range t.Runs() {
			all[r.ID] = append(all[r.ID], r)
		}
	}
	return all
}

// logs returns the last lines of each daemon.
func (f *fleet) logs() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string][]string{"late": f.late}
	for _, v := range f.vms {
		for _, l := range v.process.Lines() {
			all[v.place.Name] = append(all[v.place.Name], string(l))
		}
	}
	return all
}

func (f *fleet) close() {
	f.group.Close()
	for _, v := range f.vms {
		v.target.Close()
		v.store.Close()
	}
	f.server.CloseClientConnections()
	f.server.Close()
}
