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
	// generous bounds what must come, and is not measured.
	generous = 60 * time.Second
	// reportTimeout bounds one look at a daemon after a failure.
	reportTimeout = time.Second
	// keptConnections bounds the idle connections of callers to one daemon.
	keptConnections = 100
	// pollInterval is the time between two looks.
	pollInterval = 5 * time.Millisecond
)

// stage is one deployment with the calls of a script.
type stage struct {
	directory    string
	declarations string
	binaries     *ffprocess.Binaries
	deployment   *ffdeployment.Deployment
	version      ffconfig.Version
	tokens       map[string]string
	marks        map[string]time.Time
	loads        map[string]*load
	// end is closed when the script has ended; loops are the callers until then.
	end    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup

	// kept carries the calls of callers that keep their connections.
	kept *http.Client
	// carelessSent counts the calls of careless callers.
	carelessSent atomic.Int64

	mu    sync.Mutex
	calls map[string]*call
}

func newStage(directory, declarations string, binaries *ffprocess.Binaries) *stage {
	s := &stage{
		directory: directory, declarations: declarations, binaries: binaries,
		tokens: make(map[string]string), marks: make(map[string]time.Time),
		loads: make(map[string]*load), calls: make(map[string]*call),
		kept: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: keptConnections}},
	}
	s.end, s.cancel = context.WithCancel(context.Background())
	return s
}

func (s *stage) close() {
	s.cancel()
	if s.deployment != nil {
		s.deployment.Close()
	}
	s.loops.Wait()
	s.kept.CloseIdleConnections()
}

// within returns a context that ends when a step has taken far too long.
func (s *stage) within() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.end, generous)
}

// eventually waits until a condition holds.
func (s *stage) eventually(what string, holds func(context.Context) (bool, error)) error {
	ctx, cancel := s.within()
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
			return merry.Errorf("%s did not come about: %v", what, err)
		}
	}
}

func (s *stage) deploy(args []string) error {
	plan := ffdeployment.Plan{Relays: true, Binaries: s.binaries, Targets: func(vm ffmember.VM) []string {
		return []string{"--record", s.recordOf(vm.Name)}
	}}
	for _, arg := range args {
		fields := strings.Split(arg, ":")
		plan.Fleet = append(plan.Fleet, ffmember.VM{Name: fields[0], DataCentre: fields[1], Service: fields[2]})
	}
	ctx, cancel := s.within()
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

func (s *stage) lag(args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := s.within()
	defer cancel()
	return s.deployment.Platform.SetVMLag(ctx, d)
}

func (s *stage) recordOf(vm string) string { return filepath.Join(s.directory, vm+".jsonl") }

func (s *stage) publish(args []string) error {
	number, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return err
	}
	ctx, cancel := s.within()
	defer cancel()
	s.version, err = s.deployment.Publish(ctx, filepath.Join(s.declarations, args[0]), number)
	return err
}

func (s *stage) await(args []string) error {
	nodes := s.deployment.Nodes
	if len(args) > 0 {
		var err error
		if nodes, err = s.nodes(args); err != nil {
			return err
		}
	}
	ctx, cancel := s.within()
	defer cancel()
	if _, err := s.deployment.AwaitVersion(ctx, nodes, s.version); err != nil {
		return errors.Join(err, s.report(nodes))
	}
	return s.awaitFleet(nodes)
}

// report returns what the daemons say of themselves.
func (s *stage) report(nodes []*ffdeployment.Node) error {
	var all []error
	for _, n := range nodes {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		v, err := n.Status(ctx)
		cancel()
		all = append(all, merry.Errorf("%s: %+v, %w, %q", n.VM.Name, v, err, n.Daemon.Lines()))
	}
	return errors.Join(all...)
}

// awaitFleet waits until the daemons know every VM.
func (s *stage) awaitFleet(nodes []*ffdeployment.Node) error {
	return s.awaitStatus(nodes, "a whole view", func(v ffoperator.Status) bool {
		return v.Live+v.Leaving >= len(s.deployment.Nodes)
	})
}

func (s *stage) awaitStatus(nodes []*ffdeployment.Node, what string, holds func(ffoperator.Status) bool) error {
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

// node returns a VM by its name, or by @ and the name of a call that ran there first.
func (s *stage) node(name string) (*ffdeployment.Node, error) {
	if call, ok := strings.CutPrefix(name, "@"); ok {
		return s.ranAt(call)
	}
	i := slices.IndexFunc(s.deployment.Nodes, func(n *ffdeployment.Node) bool { return n.VM.Name == name })
	if i < 0 {
		return nil, merry.Errorf("no VM %q", name)
	}
	return s.deployment.Nodes[i], nil
}

func (s *stage) nodes(names []string) ([]*ffdeployment.Node, error) {
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

func (s *stage) leaving(args []string) error {
	nodes, err := s.nodes(args)
	if err != nil {
		return err
	}
	return s.awaitStatus(nodes, "a leaving VM", func(v ffoperator.Status) bool { return v.Leaving > 0 })
}
