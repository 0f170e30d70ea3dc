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

	"github.com/cespare/xxhash/v2"

	"fireflyfall.dev/fireflyfall/internal/ffprocess"
	"fireflyfall.dev/fireflyfall/internal/ffrelay"
	"fireflyfall.dev/fireflyfall/platform"
	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

const (
	service = "desk"
	slots   = 4
	// keptVersions is the number of latest versions whose own routes are kept.
	keptVersions = 4
	// heartbeatInterval is the interval of the targets' heartbeats.
	heartbeatInterval = 500 * time.Millisecond
	// workTime is the default time that a target takes for a request.
	workTime = 20 * time.Millisecond
)

// fleet holds the store, the targets, the relays and the daemons of a soak.
type fleet struct {
	store   ffstandin.Store
	server  *httptest.Server
	group   ffprocess.Group
	program string
	// behaviour returns how targets handle a request.
	behaviour atomic.Pointer[func(*http.Request) ffstandin.Behaviour]
	dir       string
	vms       []*vm
	// coldTargets limits what targets take while they are cold.
	coldTargets bool
	// centresMu is held during a fault of a data centre.
	centresMu sync.Mutex

	mu      sync.Mutex
	version int
	// started counts the targets started so far.
	started int
	targets []startedTarget
	// lateLogs holds the log lines and goroutine stacks of daemons that did not stop in time.
	lateLogs []string
}

// startedTarget is a target and the index of its VM.
type startedTarget struct {
	*ffstandin.Target
	vm int
}

// vm is one VM of the fleet.
type vm struct {
	index  int
	config ffstandin.VMConfig
	// storeRelay and targetRelay connect the daemon to the store and to its target.
	storeRelay, targetRelay *ffrelay.Relay
	settingsPath            string

	// mu is held during a fault of the VM's daemon process.
	mu      sync.Mutex
	process *ffprocess.Process

	// targetMu guards the target and its entry in the store.
	targetMu sync.Mutex
	running  *ffstandin.Target
	entry    ffstandin.TargetEntry

	// answersMu is held during a fault of the target's answers, and answers is how it
	// handles requests then; nil otherwise.
	answersMu sync.Mutex
	answers   atomic.Pointer[func(*http.Request) ffstandin.Behaviour]
}

// newFleet starts the stand-ins of the store and of the targets for n VMs, each on its own
// loopback address. It does not start the daemons.
func newFleet(program, dir string, n int, coldTargets bool) (*fleet, error) {
	f := &fleet{program: program, dir: dir, coldTargets: coldTargets}
	f.setBehaviour(sound)
	f.server = httptest.NewServer(&f.store)
	f.publishVersion()
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

// Long answers, which daemons pass on as they come.
const (
	longAnswerPath  = "/safe/long"
	longAnswerBytes = 600 << 10
)

// longAnswer returns the body of the long answer to an attempt.
func longAnswer(id string) string { return strings.Repeat(id, longAnswerBytes/len(id)) }

// sound is how a target without a fault handles a request.
func sound(r *http.Request) ffstandin.Behaviour {
	b := ffstandin.Behaviour{Work: workTime}
	if r.URL.Path == longAnswerPath {
		b.Body = longAnswer(ffstandin.AttemptID(r.Header))
	}
	return b
}

// eager reports whether a target runs and answers a request before it reads the body: every
// second one with the length of a body that daemons do not hold in memory.
func eager(r *http.Request) bool {
	return r.ContentLength == streamedBytes && xxhash.Sum64String(ffstandin.AttemptID(r.Header))%2 == 0
}

func (f *fleet) setBehaviour(b func(*http.Request) ffstandin.Behaviour) { f.behaviour.Store(&b) }

// Indexes of the ports, which are the same on all VMs.
const (
	portCallers = iota
	portPeers
	portReady
	portTarget
	portHeartbeats
	portMetrics
	portCount
)

// hostAddress returns the loopback address of VM i. It depends on the process ID, so that
// concurrent runs rarely share an address.
func hostAddress(i int) string { return fmt.Sprintf("127.%d.0.%d", 20+os.Getpid()%200, i+2) }

// freePorts returns ports that are free on every local address.
func freePorts() ([portCount]int, error) {
	var ports [portCount]int
	addresses, err := ffprocess.FreeAddressesOn(netip.IPv4Unspecified(), portCount)
	if err != nil {
		return ports, err
	}
	for i, a := range addresses {
		ports[i] = int(netip.MustParseAddrPort(a).Port())
	}
	return ports, nil
}

func (f *fleet) newVM(i int, ports [portCount]int) (*vm, error) {
	address := func(port int) string { return net.JoinHostPort(hostAddress(i), strconv.Itoa(ports[port])) }
	v := &vm{index: i, config: ffstandin.VMConfig{
		Name: fmt.Sprint("vm-", i), DataCentre: "dc-" + string(rune('a'+i%centres)), Service: service,
		Callers: address(portCallers), Peers: address(portPeers), Ready: address(portReady), Target: address(portTarget),
		Heartbeats: ports[portHeartbeats], Metrics: ports[portMetrics],
	}}
	l, err := net.Listen("tcp4", net.JoinHostPort(hostAddress(i), "0"))
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindStart, Err: err}
	}
	if v.targetRelay, err = ffrelay.New(v.config.Target, l.Addr().String()); err != nil {
		return nil, err
	}
	if v.storeRelay, err = ffrelay.New(net.JoinHostPort(hostAddress(i), "0"), strings.TrimPrefix(f.server.URL, "http://")); err != nil {
		return nil, err
	}
	v.config.Store = v.storeRelay.Address()
	v.settingsPath = filepath.Join(f.dir, v.config.Name+".conf")
	if err := os.WriteFile(v.settingsPath, v.config.Settings(), 0o600); err != nil {
		return nil, &Error{Op: "write settings", Kind: KindStart, Err: err}
	}
	f.replaceTarget(v)
	go f.serveTarget(v, l)
	return v, nil
}

// replaceTarget starts a new target on a VM and writes its entry to the store.
func (f *fleet) replaceTarget(v *vm) {
	f.mu.Lock()
	f.started++
	id := fmt.Sprint("i-", v.config.Name, "-", f.started)
	t := &ffstandin.Target{ID: id, Behave: func(r *http.Request) ffstandin.Behaviour { return f.behave(v, r) }, Eager: eager}
	f.targets = append(f.targets, startedTarget{Target: t, vm: v.index})
	startNumber := int64(f.started)
	f.mu.Unlock()
	v.targetMu.Lock()
	defer v.targetMu.Unlock()
	if f.coldTargets && v.running != nil {
		t.BecomeCold()
	}
	v.running = t
	v.entry = ffstandin.TargetEntry{
		ID: id, Service: service, Address: v.config.Target, DataCentre: v.config.DataCentre,
		State: "ready", Slots: slots, Born: startNumber, ColdRemainingS: t.ColdFor().Seconds(),
	}
	f.store.PutEntry(v.entry)
}

// behave returns how the target of a VM handles a request.
func (f *fleet) behave(v *vm, r *http.Request) ffstandin.Behaviour {
	if answers := v.answers.Load(); answers != nil {
		return (*answers)(r)
	}
	return (*f.behaviour.Load())(r)
}

// serveTarget passes each connection to the current target of the VM until l is closed.
func (f *fleet) serveTarget(v *vm, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		v.targetMu.Lock()
		t := v.running
		v.targetMu.Unlock()
		go t.ServeConn(c)
	}
}

// runHeartbeats renews the targets' entries in the store until ctx ends.
func (f *fleet) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, v := range f.vms {
			v.targetMu.Lock()
			v.entry.Sequence++
			v.entry.ColdRemainingS = v.running.ColdFor().Seconds()
			f.store.PutEntry(v.entry)
			v.targetMu.Unlock()
		}
	}
}

// publishVersion writes the next configuration version, which adds a route of its own, and
// returns its number.
func (f *fleet) publishVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	routes := []ffstandin.Route{{Name: "safe", Kind: "safe", Service: service}, {Name: "once", Kind: "unsafe", Service: service}}
	for v := max(1, f.version-keptVersions+1); v <= f.version; v++ {
		routes = append(routes, ffstandin.Route{Name: routeOf(v), Kind: "safe", Service: service})
	}
	if f.coldTargets {
		f.store.PutColdConfig(f.version, routes)
	} else {
		f.store.PutConfig(f.version, routes)
	}
	return f.version
}

func routeOf(version int) string { return fmt.Sprint("v", version) }

func (f *fleet) latestVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// start starts the daemon of a VM and, if wait is set, waits until it is ready.
func (f *fleet) start(ctx context.Context, v *vm, wait bool) error {
	spec := ffprocess.Spec{Name: v.config.Name, Path: f.program, Args: []string{"mesh"}, Env: []string{platform.SettingsEnvVar + "=" + v.settingsPath}}
	if wait {
		spec.ReadyURL = "http://" + v.config.Ready + "/fireflyfall/ready"
	}
	p, err := f.group.Start(ctx, spec)
	if err != nil {
		return err
	}
	v.process = p
	return nil
}

// runs returns the executions at all targets so far, by request ID.
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

// targetRecords returns what is known of each target, by ID.
func (f *fleet) targetRecords() map[string]TargetRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[string]TargetRecord, len(f.targets))
	for _, t := range f.targets {
		all[t.ID] = TargetRecord{VM: t.vm, Overrun: t.Overrun()}
	}
	return all
}

// logs returns the last log lines by VM name, and under "late" those of daemons that did
// not stop in time.
func (f *fleet) logs() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string][]string{"late": f.lateLogs}
	for _, v := range f.vms {
		for _, l := range v.process.Lines() {
			all[v.config.Name] = append(all[v.config.Name], string(l))
		}
	}
	return all
}

func (f *fleet) close() {
	f.group.Close()
	for _, v := range f.vms {
		v.targetRelay.Close()
		v.storeRelay.Close()
	}
	f.server.CloseClientConnections()
	f.server.Close()
}
