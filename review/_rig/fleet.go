package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

// program is the daemon as the deploy file builds and starts it.
const role = "mesh"

var program = cmp.Or(os.Getenv("PROGRAM"), "target/fireflyfall")

// machine is a machine with a worker and a daemon, on a loopback address of its own.
type machine struct {
	name, host, zone, service string
	outbound, ready           string
	settings                  string
	worker                    *worker
	daemon                    *exec.Cmd
	ended                     chan struct{}
	log                       *os.File
}

// fleet is a small deployment: the stand-in of the store, and the machines.
type fleet struct {
	dir      string
	rec      *record
	store    *ffstandin.Store
	server   *http.Server
	address  string
	ports    []int
	machines []*machine
}

// Indexes of ports.
const (
	portOutbound = iota
	portInbound
	portReady
	portWorker
	portFirst
	portLast
	portCount
)

// freePorts returns ports that are free on all of the hosts, below those that the kernel
// gives to connections.
func freePorts(hosts []string, n int) ([]int, error) {
	const lowest, highest, most = 10_000, 30_000, 2000
	var ports []int
	for tried := 0; tried < most && len(ports) < n; tried++ {
		port := lowest + rand.IntN(highest-lowest)
		if !slices.Contains(ports, port) && freeOn(hosts, port) {
			ports = append(ports, port)
		}
	}
	if len(ports) < n {
		return nil, errors.New("no free ports")
	}
	return ports, nil
}

func freeOn(hosts []string, port int) bool {
	for _, h := range hosts {
		address := fmt.Sprintf("%s:%d", h, port)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp4", address)
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

// newFleet starts the store and the workers: services names the service of each machine.
func newFleet(rec *record, services []string, zones []string, extra string) (*fleet, error) {
	var hosts []string
	for i := range services {
		hosts = append(hosts, fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250, i+2))
	}
	ports, err := freePorts(hosts, portCount)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, rec: rec, store: &ffstandin.Store{}, ports: ports, address: l.Addr().String()}
	f.server = &http.Server{Handler: f.store}
	go func() { _ = f.server.Serve(l) }()
	for i, service := range services {
		at := func(port int) string { return fmt.Sprintf("%s:%d", hosts[i], f.ports[port]) }
		m := &machine{
			name: fmt.Sprintf("sidecar-%d", i+1), host: hosts[i], zone: zones[i%len(zones)], service: service,
			outbound: at(portOutbound), ready: at(portReady),
		}
		m.worker = &worker{id: fmt.Sprintf("i-%04d", i+1), service: service, zone: m.zone, address: at(portWorker), store: f.store, rec: rec}
		m.settings = filepath.Join(dir, m.name+".conf")
		if err := os.WriteFile(m.settings, []byte(f.settingsOf(m, at)+extra), 0o600); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

// settingsOf returns the settings of a machine, with the figures of the sheet of the first
// deployments.
func (f *fleet) settingsOf(m *machine, at func(int) string) string {
	lines := []string{
		"nodeName=" + m.name, "role=daemon", "machineClass=sidecar", "serves=sidecar", "ip=" + m.host,
		"zone=" + m.zone, "region=region-1",
		"listenAddrs.inbound=" + at(portInbound), "listenAddrs.outbound=" + at(portOutbound), "listenAddrs.readyAddr=" + at(portReady),
		fmt.Sprintf("portRange=%d,%d", f.ports[portFirst], f.ports[portLast]),
		"seeds=", "bootstrap=true", "inTolerance=false",
		"limits.cpuShare=0.32", "limits.cores=1", "limits.memoryMb=134", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=local", "heartbeatS=1.5", "contracts=base,drain,config,cost,retry,recover,platform",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.addrReuseS=2", "bounds.stableWindowS=3", "bounds.ackS=4", "bounds.catchUpS=4", "bounds.drainS=2",
		"bounds.graceS=6", "bounds.lossSlackS=0.2", "bounds.configApplyS=2", "bounds.rollbackSlackS=0.25", "bounds.maxStretchS=5",
		"bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetSlack=60", "bounds.recoverS=15",
		"appAddr=" + at(portWorker), "service=" + m.service,
		"platform.address=" + f.address, "platform.form=read", "platform.writesPerS=400", "platform.readsPerS=2000",
		"platform.historyS=20", "platform.valueBytes=1048576", "platform.ttlMinS=1",
	}
	return strings.Join(lines, "\n") + "\n"
}

// host is the host of all routes.
const host = "desk.example"

// route is a route of a configuration; timeoutS and targetS are its figures in seconds.
type route struct {
	name, prefix, kind, service string
	timeoutS, targetS           float64
	priority                    int
}

// configure writes a configuration to the store.
func (f *fleet) configure(version int, routes []route) {
	var all, services []any
	seen := map[string]bool{}
	for _, r := range routes {
		all = append(all, map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "kind": r.kind, "timeoutS": r.timeoutS,
			"targetLatencyS": r.targetS, "priority": r.priority, "service": r.service, "attempts": 2,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{"name": r.service, "healthPath": "/health", "maxConnections": 120, "protocol": "h1", "tls": false})
		}
	}
	f.store.Put("op/config", map[string]any{
		"version": version, "routes": all, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
	f.rec.note("the store acknowledges configuration %d", version)
}

// startDaemon starts the daemon of a machine.
func (f *fleet) startDaemon(m *machine) error {
	log, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.log = log
	m.daemon = exec.Command(program, role)
	m.daemon.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIREFLYFALL_SETTINGS=" + m.settings}
	m.daemon.Stdout, m.daemon.Stderr = log, log
	// A daemon ends with the rig, whatever ends that.
	m.daemon.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.daemon.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) { _ = c.Wait(); close(ended) }(m.daemon, m.ended)
	return nil
}

// signal sends a signal to the daemon of a machine.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	f.rec.note("%s gets %v", m.name, s)
	_ = m.daemon.Process.Signal(s)
}

// startAll starts all workers and daemons, and waits until each daemon is ready.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.worker.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := f.startDaemon(m); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if !m.awaitReady(20 * time.Second) {
			return fmt.Errorf("%s isn't ready", m.name)
		}
	}
	return nil
}

func (m *machine) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.isReady() {
			return true
		}
	}
	return false
}

func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ready+"/fireflyfall/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and removes the files.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.daemon == nil || m.daemon.Process == nil {
			continue
		}
		_ = m.daemon.Process.Signal(syscall.SIGCONT)
		_ = m.daemon.Process.Kill()
		<-m.ended
		_ = m.log.Close()
	}
	_ = f.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// lastLines returns what the daemon of a machine wrote from the first line on that begins
// with one of the words, 12 lines at most, without the paths of source files.
func (f *fleet) lastLines(m *machine, words ...string) string {
	b, err := os.ReadFile(filepath.Join(f.dir, m.name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := slices.DeleteFunc(strings.Split(string(b), "\n"), func(line string) bool { return strings.HasPrefix(line, "\t") })
	for i, line := range lines {
		if slices.ContainsFunc(words, func(w string) bool { return strings.HasPrefix(line, w) }) {
			return strings.Join(lines[i:min(len(lines), i+12)], "\n")
		}
	}
	return "none"
}
