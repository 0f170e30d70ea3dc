package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

// Bounds of the site dsl-mesh-grown; those of batbayar-mesh-grown are the same, but for the budget.
const (
	graceTime      = 6 * time.Second
	drainTime      = 2500 * time.Millisecond
	beatInterval   = 1500 * time.Millisecond
	configApply    = 2500 * time.Millisecond
	stableWindow   = 3 * time.Second
	startTimeout   = 15 * time.Second
	host           = "wallet.example"
	program        = "target/fireflyfall"
	programCommand = "mesh"
)

// settings is the settings file of a machine, with the fields of DEPLOY.md.
const settings = `nodeName=%[1]s
role=daemon
machineClass=sidecar
serves=sidecar
ip=%[2]s
zone=%[3]s
region=si-central
zones.si-central-a=si-central
zones.si-central-b=si-central
zones.si-central-c=si-central
listenAddrs.inbound=%[2]s:%[4]d
listenAddrs.outbound=%[2]s:%[5]d
listenAddrs.readyAddr=%[2]s:%[6]d
portRange=%[7]d,%[8]d
seeds=
bootstrap=true
inTolerance=false
limits.cpuShare=0.8
limits.cores=1
limits.memoryMb=536
limits.maxFds=4100
limits.linkMbps=200.0
limits.diskMb=0
discovery=platform
entry=local
heartbeatS=1.5
contracts=base,drain,config,cost,retry,recover,platform
faultTolerance.machines=1
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.stableWindowS=3
bounds.ackS=5
bounds.catchUpS=6
bounds.drainS=2.5
bounds.graceS=6
bounds.lossSlackS=0.2
bounds.configApplyS=2.5
bounds.rollbackSlackS=0.25
bounds.maxStretchS=5
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=190
bounds.recoverS=15
appAddr=%[2]s:%[9]d
service=%[10]s
platform.address=%[11]s
platform.form=read
platform.writesPerS=400
platform.readsPerS=6000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinS=1
`

// fleet is a small deployment on loopback addresses: a store, machines with a daemon and a
// worker each.
type fleet struct {
	store    ffstandin.Store
	server   *http.Server
	address  string
	dir      string
	record   *record
	machines []*machine
}

// machine is one machine.
type machine struct {
	// window is the receive buffer of the worker, in bytes; 0 for that of the system.
	window int

	fleet                      *fleet
	name, ip, zone, service    string
	peers, callers, ready, app int
	first, last                int
	settingsPath               string
	daemon                     *exec.Cmd
	ended                      chan struct{}
	mu                         sync.Mutex
	worker                     *worker
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: r}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.address = l.Addr().String()
	f.server = &http.Server{Handler: &f.store}
	go func() { _ = f.server.Serve(l) }()
	return f, nil
}

// addMachines adds one machine for each service, each on its own loopback address. The ports
// are the same on all machines.
func (f *fleet) addMachines(services ...string) error {
	block := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	ports, err := freePorts(6)
	if err != nil {
		return err
	}
	for i, service := range services {
		zone := "si-central-" + string(rune('a'+i%3))
		m := &machine{
			fleet: f, name: fmt.Sprintf("sidecar-%s-%d", zone, i+1), ip: block + strconv.Itoa(i+2), zone: zone, service: service,
			peers: ports[0], callers: ports[1], ready: ports[2], first: ports[3], last: ports[4], app: ports[5],
		}
		m.settingsPath = filepath.Join(f.dir, m.name+".conf")
		text := fmt.Sprintf(settings, m.name, m.ip, m.zone, m.peers, m.callers, m.ready, m.first, m.last, m.app, m.service, f.address)
		if err := os.WriteFile(m.settingsPath, []byte(text), 0o600); err != nil {
			return err
		}
		f.machines = append(f.machines, m)
	}
	return nil
}

// freePorts returns ports that were free on every local address.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp4", "0.0.0.0:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// route is a route of the configuration; its prefix is /NAME/.
type route struct {
	name, kind, service string
	timeoutS            float64
}

// putConfig writes a configuration as the operator does.
func (f *fleet) putConfig(version int, routes ...route) {
	var all, services []any
	named := make(map[string]bool)
	for _, r := range routes {
		all = append(all, map[string]any{
			"name": "r-" + r.name, "host": host, "prefix": "/" + r.name + "/", "kind": r.kind, "timeoutS": r.timeoutS,
			"targetLatencyS": 1, "priority": 1, "service": r.service, "attempts": 2,
		})
		named[r.service] = true
	}
	for _, name := range slices.Sorted(maps.Keys(named)) {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 430, "protocol": "h1", "tls": false})
	}
	f.store.Put("op/config", map[string]any{
		"version": version, "routes": all, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
}

// start starts all daemons and waits until each is ready.
func (f *fleet) start() error {
	for _, m := range f.machines {
		if err := m.startDaemon(); err != nil {
			return err
		}
	}
	until := time.Now().Add(startTimeout)
	for _, m := range f.machines {
		for !m.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// startDaemon starts the daemon with the command of the deploy file.
func (m *machine) startDaemon() error {
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(program, programCommand)
	c.Env = []string{"FIREFLYFALL_SETTINGS=" + m.settingsPath}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		c.Env = append(c.Env, name+"="+os.Getenv(name))
	}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.daemon, m.ended = c, ended
	go func() { _ = c.Wait(); close(ended) }()
	return nil
}

func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/fireflyfall/ready", m.ip, m.ready), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// terminate stops the daemon as the platform does: SIGTERM, and SIGKILL after graceTime.
func (m *machine) terminate() {
	m.fleet.record.add("platform  SIGTERM to the daemon of %s", m.name)
	_ = m.daemon.Process.Signal(syscall.SIGTERM)
	ended := m.ended
	daemon := m.daemon
	go func() {
		select {
		case <-ended:
			m.fleet.record.add("platform  the daemon of %s has ended", m.name)
		case <-time.After(graceTime):
			m.fleet.record.add("platform  SIGKILL to the daemon of %s", m.name)
			_ = daemon.Process.Kill()
		}
	}()
}

func (m *machine) outbound() string { return net.JoinHostPort(m.ip, strconv.Itoa(m.callers)) }
func (m *machine) appAddress() string {
	return net.JoinHostPort(m.ip, strconv.Itoa(m.app))
}

// close ends everything that was started.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.daemon != nil {
			_ = m.daemon.Process.Kill()
			<-m.ended
		}
		m.mu.Lock()
		w := m.worker
		m.mu.Unlock()
		if w != nil {
			w.stop()
		}
	}
	_ = f.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// logLines returns the lines of a daemon's log that contain a text.
func (m *machine) logLines(text string) []string {
	b, err := os.ReadFile(filepath.Join(m.fleet.dir, m.name+".log"))
	if err != nil {
		return nil
	}
	var found []string
	for line := range strings.Lines(string(b)) {
		if strings.Contains(line, text) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}
