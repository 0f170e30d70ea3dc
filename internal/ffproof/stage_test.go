package ffproof_test

import (
	"context"
	"errors"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffoperator"
	"fireflyfall.dev/fireflyfall/internal/ffprocess"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// stepTimeout is the maximum duration of one step of a script. It is generous,
	// because the scripts do not check timing.
	stepTimeout = 60 * time.Second
	// reportTimeout is the maximum time to read the status of a daemon after a failure.
	reportTimeout = time.Second
	// keptConnections is the maximum number of idle connections to one daemon.
	keptConnections = 100
	// pollInterval is the time between two checks of a condition.
	pollInterval = 5 * time.Millisecond
)

// script is the state of a running script: its deployment, calls and loads.
type script struct {
	directory    string
	declarations string
	binaries     *ffprocess.Binaries
	deployment   *ffdeployment.Deployment
	version      ffconfig.Version
	tokens       map[string]string
	marks        map[string]time.Time
	loads        map[string]*load
	// ctx is done when the script has ended; callers are the goroutines that call
	// until then.
	ctx     context.Context
	cancel  context.CancelFunc
	callers sync.WaitGroup

	// keepAliveHTTP sends the calls with connections=kept.
	keepAliveHTTP *http.Client
	// carelessSent counts the calls of careless callers.
	carelessSent atomic.Int64

	mu    sync.Mutex
	calls map[string]*call
}

func newScript(directory, declarations string, binaries *ffprocess.Binaries) *script {
	s := &script{
		directory: directory, declarations: declarations, binaries: binaries,
		tokens: make(map[string]string), marks: make(map[string]time.Time),
		loads: make(map[string]*load), calls: make(map[string]*call),
		keepAliveHTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: keptConnections}},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

func (s *script) close() {
	s.cancel()
	if s.deployment != nil {
		s.deployment.Close()
	}
	s.callers.Wait()
	s.keepAliveHTTP.CloseIdleConnections()
}

// stepContext returns a context for one step of the script.
func (s *script) stepContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, stepTimeout)
}

// eventually waits until holds returns true; its last error explains a timeout.
func (s *script) eventually(what string, holds func(context.Context) (bool, error)) error {
	ctx, cancel := s.stepContext()
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		ok, err := holds(ctx)
		if ok {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return merry.Errorf("timed out waiting for %s: %v", what, err)
		}
	}
}

func (s *script) deploy(args []string) error {
	plan := ffdeployment.Plan{Relays: true, Binaries: s.binaries, TargetArgs: func(vm ffmember.VM) []string {
		return []string{"--record", s.recordPath(vm.Name)}
	}}
	for _, arg := range args {
		fields := strings.Split(arg, ":")
		plan.Fleet = append(plan.Fleet, ffmember.VM{Name: fields[0], DataCentre: fields[1], Service: fields[2]})
	}
	ctx, cancel := s.stepContext()
	defer cancel()
	d, err := ffdeployment.Start(ctx, plan, filepath.Join(s.directory, "deployment"))
	if err != nil {
		return err
	}
	s.deployment = d
	if err := s.publish([]string{"declarations", "1"}); err != nil {
		return err
	}
	return s.await(nil)
}

func (s *script) lag(args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := s.stepContext()
	defer cancel()
	return s.deployment.Platform.SetVMLag(ctx, d)
}

func (s *script) recordPath(vm string) string { return filepath.Join(s.directory, vm+".jsonl") }

func (s *script) publish(args []string) error {
	number, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return err
	}
	ctx, cancel := s.stepContext()
	defer cancel()
	s.version, err = s.deployment.Publish(ctx, filepath.Join(s.declarations, args[0]), number)
	return err
}

func (s *script) await(args []string) error {
	nodes := s.deployment.Nodes
	if len(args) > 0 {
		var err error
		if nodes, err = s.nodes(args); err != nil {
			return err
		}
	}
	ctx, cancel := s.stepContext()
	defer cancel()
	if _, err := s.deployment.AwaitVersion(ctx, nodes, s.version); err != nil {
		return errors.Join(err, s.report(nodes))
	}
	return s.awaitFleet(nodes)
}

// report returns the status and the latest log lines of the daemons as an error.
func (s *script) report(nodes []*ffdeployment.Node) error {
	var all []error
	for _, n := range nodes {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		v, err := n.Status(ctx)
		cancel()
		all = append(all, merry.Errorf("%s: %+v, %w, %q", n.VM.Name, v, err, n.Daemon.Lines()))
	}
	return errors.Join(all...)
}

// awaitFleet waits until each daemon knows every VM.
func (s *script) awaitFleet(nodes []*ffdeployment.Node) error {
	return s.awaitStatus(nodes, "every VM to be known", func(v ffoperator.Status) bool {
		return v.Live+v.Leaving >= len(s.deployment.Nodes)
	})
}

func (s *script) awaitStatus(nodes []*ffdeployment.Node, what string, holds func(ffoperator.Status) bool) error {
	return s.eventually(what, func(ctx context.Context) (bool, error) {
		for _, n := range nodes {
			v, err := n.Status(ctx)
			if err != nil || !holds(v) {
				return false, merry.Errorf("%s: %+v, %w", n.VM.Name, v, err)
			}
		}
		return true, nil
	})
}

// node returns a VM by its name, or, for @CALL, the VM where the call ran first.
func (s *script) node(name string) (*ffdeployment.Node, error) {
	if call, ok := strings.CutPrefix(name, "@"); ok {
		return s.firstRanAt(call)
	}
	i := slices.IndexFunc(s.deployment.Nodes, func(n *ffdeployment.Node) bool { return n.VM.Name == name })
	if i < 0 {
		return nil, merry.Errorf("VM %q does not exist", name)
	}
	return s.deployment.Nodes[i], nil
}

func (s *script) nodes(names []string) ([]*ffdeployment.Node, error) {
	var nodes []*ffdeployment.Node
	for _, name := range names {
		n, err := s.node(name)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

func (s *script) leaving(args []string) error {
	nodes, err := s.nodes(args)
	if err != nil {
		return err
	}
	return s.awaitStatus(nodes, "a leaving VM", func(v ffoperator.Status) bool { return v.Leaving > 0 })
}
