// Command review-3-rig plays one case of the third review: it starts daemons as separate
// processes, with stand-ins of the platform's store, of servers and of clients, and judges
// what those see.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// program is that of the deploy file, from the repository's root.
const program = "target/fireflyfall"

// maxTime is the longest time that a case may take.
const maxTime = 100 * time.Second

// record is the file record.txt of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}

// say writes to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// vmSpec describes one VM.
type vmSpec struct {
	service string
	slots   int
}

// rig is a deployment on loopback.
type rig struct {
	rec *record
	dir string
	// root is that of the repository, in which the daemons start.
	root    string
	store   ffstandin.Store
	storeLn net.Listener
	// storeHandler serves the store; the default is the store itself.
	storeHandler http.Handler
	vms          []*vm
	ports        [5]int
	handle       func(w *worker, r *request) answer
	trouble      bool
	graceS       int
}

type vm struct {
	rig     *rig
	index   int
	ip      string
	spec    vmSpec
	worker  *worker
	process *exec.Cmd
	exited  chan struct{}
	started int
	path    string
}

func (v *vm) callers() string { return fmt.Sprintf("%s:%d", v.ip, v.rig.ports[0]) }
func (v *vm) ready() string   { return fmt.Sprintf("%s:%d", v.ip, v.rig.ports[2]) }

// newRig starts the store and the workers. configuration writes the configuration.
func newRig(rec *record, specs []vmSpec, handle func(w *worker, r *request) answer) (*rig, error) {
	g := &rig{rec: rec, handle: handle, graceS: 6, trouble: os.Getenv("TROUBLE") != "0"}
	root, err := filepath.Abs("../..")
	if err != nil {
		return nil, err
	}
	g.root = root
	if _, err := os.Stat(filepath.Join(root, program)); err != nil {
		return nil, err
	}
	if g.dir, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	base := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
	var ips []string
	for i := range specs {
		ips = append(ips, fmt.Sprintf("%s%d", base, 10+i))
	}
	if err := g.pickPorts(ips); err != nil {
		return nil, err
	}
	g.storeLn, err = net.Listen("tcp4", base+"200:0")
	if err != nil {
		return nil, err
	}
	g.storeHandler = &g.store
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.storeHandler.ServeHTTP(w, r) })}
	go func() { _ = srv.Serve(g.storeLn) }()
	for i, s := range specs {
		v := &vm{rig: g, index: i, ip: ips[i], spec: s, path: filepath.Join(g.dir, fmt.Sprintf("vm%d.conf", i))}
		g.vms = append(g.vms, v)
		if v.worker, err = newWorker(v, fmt.Sprintf("i-%08x", rand.Uint32())); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// pickPorts finds five ports that are free on all addresses.
func (g *rig) pickPorts(ips []string) error {
	for range 200 {
		first := 20000 + rand.IntN(12000)
		ok := true
		for i := range g.ports {
			g.ports[i] = first + i
			for _, ip := range ips {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, first+i))
				if err != nil {
					ok = false
					break
				}
				_ = l.Close()
			}
		}
		if ok {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// settings returns the settings file of a VM, in the format of the users' pages.
func (v *vm) settings() string {
	g := v.rig
	s := fmt.Sprintf(`nodeName=sidecar-z-%d
role=daemon
machineClass=sidecar
serves=sidecar
ip=%s
zone=z
region=r
zones.z=r
listenAddrs.inbound=%s:%d
listenAddrs.outbound=%s:%d
listenAddrs.readyAddr=%s:%d
portRange=%d,%d
seeds=
bootstrap=%t
inTolerance=false
limits.cpuShare=0.32
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
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
bounds.ackS=4
bounds.catchUpS=4
bounds.drainS=2
bounds.graceS=%d
bounds.lossSlackS=0.2
bounds.configApplyS=2
bounds.rollbackSlackS=0.25
bounds.maxStretchS=5
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=58
bounds.recoverS=15
appAddr=%s
service=%s
platform.address=%s
platform.form=read
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinS=1
`, v.index, v.ip, v.ip, g.ports[1], v.ip, g.ports[0], v.ip, g.ports[2], g.ports[3], g.ports[4],
		v.started == 0, g.graceS, v.worker.address(), v.spec.service, g.storeLn.Addr())
	return s
}

// start starts the daemon of a VM with the command of the deploy file.
func (v *vm) start() error {
	if err := os.WriteFile(v.path, []byte(v.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.rig.dir, fmt.Sprintf("vm%d.log", v.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(v.rig.root, program), "mesh")
	cmd.Dir = v.rig.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + v.rig.dir, "FIREFLYFALL_SETTINGS=" + v.path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	startedMu.Lock()
	started = append(started, cmd.Process)
	startedMu.Unlock()
	v.process, v.exited = cmd, make(chan struct{})
	v.started++
	done := v.exited
	go func() {
		err := cmd.Wait()
		v.rig.rec.logf("daemon %d ended: %v", v.index, err)
		_ = log.Close()
		close(done)
	}()
	return nil
}

var (
	startedMu sync.Mutex
	started   []*os.Process
)

// killAll ends all processes that this one has started.
func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, p := range started {
		_ = p.Kill()
	}
}

func (v *vm) signal(s syscall.Signal) {
	v.rig.rec.logf("daemon %d gets %v", v.index, s)
	_ = v.process.Process.Signal(s)
}

// term stops the daemon as the platform does, and waits for its end.
func (v *vm) term() {
	v.signal(syscall.SIGTERM)
	select {
	case <-v.exited:
	case <-time.After(time.Duration(v.rig.graceS) * time.Second):
		v.signal(syscall.SIGKILL)
		<-v.exited
	}
}

// isReady asks the daemon whether it is ready.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + v.ready() + "/fireflyfall/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all daemons and waits until they are ready.
func (g *rig) startAll() error {
	for _, v := range g.vms {
		v.worker.announce("ready")
	}
	for _, v := range g.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, v := range g.vms {
			if v.isReady() {
				n++
			}
		}
		if n == len(g.vms) {
			time.Sleep(1500 * time.Millisecond)
			return nil
		}
	}
	return fmt.Errorf("daemons are not ready; logs in %s", g.dir)
}

// close ends all processes.
func (g *rig) close() {
	for _, v := range g.vms {
		if v.process == nil {
			continue
		}
		_ = v.process.Process.Signal(syscall.SIGCONT)
		_ = v.process.Process.Kill()
		<-v.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(g.dir)
	} else {
		fmt.Println("logs:", g.dir)
	}
}

// request is one arrival at a worker.
type request struct {
	id, method, uri, body string
	header                http.Header
	at                    time.Time
	// cut reports that the caller closed the connection during the work.
	cut  bool
	done time.Time
}

// answer is how a worker answers.
type answer struct {
	work   time.Duration
	status int
	body   string
	header map[string]string
}

// worker is a sound server: it runs slots requests at a time, queues a few more, and drops a
// request whose connection closes.
type worker struct {
	vm     *vm
	id     string
	born   int64
	seq    int
	state  string
	ln     net.Listener
	server *http.Server
	slots  chan struct{}
	queued atomic.Int64

	mu      sync.Mutex
	runs    []*request
	stopped chan struct{}
}

func newWorker(v *vm, id string) (*worker, error) {
	l, err := net.Listen("tcp4", v.ip+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{vm: v, id: id, born: time.Now().UnixMilli(), ln: l, slots: make(chan struct{}, v.spec.slots), stopped: make(chan struct{})}
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

func (w *worker) address() string { return w.ln.Addr().String() }

// announce writes the worker's entry now and at each heartbeat.
func (w *worker) announce(state string) {
	w.mu.Lock()
	first := w.state == ""
	w.state = state
	w.mu.Unlock()
	w.beat()
	if !first {
		return
	}
	go func() {
		for {
			select {
			case <-w.stopped:
				return
			case <-time.After(1500 * time.Millisecond):
				w.beat()
			}
		}
	}()
}

func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	w.vm.rig.store.PutEntry(ffstandin.TargetEntry{
		ID: w.id, Service: w.vm.spec.service, Address: w.address(), DataCentre: "z", State: w.state,
		Slots: w.vm.spec.slots, Born: w.born, Sequence: w.seq,
	})
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", w.id)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != w.id {
		h.Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if w.queued.Add(1) > int64(4*w.vm.spec.slots) {
		w.queued.Add(-1)
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.queued.Add(-1)
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	case <-r.Context().Done():
		return
	}
	run := &request{id: id, method: r.Method, uri: r.RequestURI, body: string(body), header: r.Header, at: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, run)
	w.mu.Unlock()
	w.vm.rig.rec.logf("worker %s runs %s %s %s", w.id, r.Method, r.RequestURI, id)
	a := w.vm.rig.handle(w, run)
	select {
	case <-time.After(a.work):
	case <-r.Context().Done():
		w.mu.Lock()
		run.cut, run.done = true, time.Now()
		w.mu.Unlock()
		w.vm.rig.rec.logf("worker %s drops %s, its connection closed", w.id, id)
		return
	}
	w.mu.Lock()
	run.done = time.Now()
	w.mu.Unlock()
	h.Set("X-Response-Signature", w.id+"."+id)
	for name, value := range a.header {
		h.Set(name, value)
	}
	if a.status == 0 {
		a.status = http.StatusOK
	}
	if a.body == "" {
		a.body = id
	}
	h.Set("Content-Length", fmt.Sprint(len(a.body)))
	rw.WriteHeader(a.status)
	_, _ = io.WriteString(rw, a.body)
}

// runsOf returns the runs of an attempt at all workers.
func (g *rig) runsOf(id string) []*request {
	var all []*request
	for _, v := range g.vms {
		v.worker.mu.Lock()
		for _, r := range v.worker.runs {
			if r.id == id {
				c := *r
				all = append(all, &c)
			}
		}
		v.worker.mu.Unlock()
	}
	return all
}

// route is a route of a configuration.
type route struct {
	name, kind, service string
	timeoutS            float64
	attempts            int
}

// putConfig writes a configuration.
func (g *rig) putConfig(version int, routes []route) {
	var all, services []any
	seen := map[string]bool{}
	for _, r := range routes {
		all = append(all, map[string]any{
			"name": r.name, "host": ffstandin.Host, "prefix": "/" + r.name + "/", "kind": r.kind, "timeoutS": r.timeoutS,
			"targetLatencyS": r.timeoutS / 2, "priority": 1, "service": r.service, "attempts": r.attempts,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{"name": r.service, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false})
		}
	}
	g.store.Put("op/config", map[string]any{
		"version": version, "routes": all, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
}

var attempts atomic.Int64

// attemptID returns a new ID.
func attemptID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.Add(1)) }

// requestText returns a request as it is sent.
func requestText(method, path, id string, deadline time.Duration, body string, lines ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, ffstandin.Host, id, deadline.Milliseconds())
	for _, l := range lines {
		b.WriteString(l + "\r\n")
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: review-3-rig CASE")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*record) int{
		"early": early, "oldchunks": oldChunks, "slowstop": slowStop,
		"left-reset": leftReset, "left-pipelined": leftPipelined,
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	f, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	rec := &record{file: f, start: time.Now()}
	time.AfterFunc(maxTime, func() {
		rec.say("not run: it takes too long")
		killAll()
		os.Exit(exitNotRun)
	})
	os.Exit(run(rec))
}
