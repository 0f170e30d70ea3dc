package ffsoak

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/internal/ffgenerator"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

const (
	// startTimeout bounds the time until every daemon has the first version.
	startTimeout = 30 * time.Second
	// settleTime is the time after the last publication during which daemons are still sampled.
	settleTime = convergenceBound + 2*convergenceSlack
)

// Options holds the parameters of a soak.
type Options struct {
	// Deployment names a directory below Examples.
	Deployment string
	Examples   string
	Seed       uint64
	For        time.Duration
	PerService int
	// Directory receives binaries, bundles and records.
	Directory string
}

// soak is the state of a soak while it runs.
type soak struct {
	setup      Options
	profile    profile
	schedule   Schedule
	deployment *ffdeployment.Deployment
	publisher  *publisher
	injector   *injector
	processLog *processLog
	sampler    sampler
	load       *load
	results    []*ffgenerator.Result
	starts     atomic.Int64
}

// Plan returns the fleet and the schedule of a setup.
func Plan(s Options) ([]ffmember.VM, Schedule, error) {
	p, err := readProfile(s.Deployment)
	if err != nil {
		return nil, Schedule{}, err
	}
	fleet, err := ffdeployment.ReadFleet(filepath.Join(s.Examples, s.Deployment))
	if err != nil {
		return nil, Schedule{}, err
	}
	if s.PerService > 0 {
		fleet = ffdeployment.Sample(fleet, s.PerService)
	}
	return fleet, NewSchedule(s.Seed, s.For, fleet, p.LongService), nil
}

// Run soaks a deployment and returns the record.
func Run(ctx context.Context, setup Options) (*Record, error) {
	p, err := readProfile(setup.Deployment)
	if err != nil {
		return nil, err
	}
	fleet, schedule, err := Plan(setup)
	if err != nil {
		return nil, err
	}
	s := &soak{setup: setup, profile: p, schedule: schedule, processLog: &processLog{}}
	if err := s.start(ctx, fleet); err != nil {
		return nil, err
	}
	defer s.deployment.Close()
	if err := s.run(ctx); err != nil {
		return nil, err
	}
	return s.record()
}

func (s *soak) start(ctx context.Context, fleet []ffmember.VM) error {
	if err := os.MkdirAll(s.recordDirectory(), 0o755); err != nil {
		return &Error{Op: "start", Kind: ErrorFile, Err: err}
	}
	var err error
	started := time.Now()
	s.deployment, err = ffdeployment.Start(ctx, ffdeployment.Plan{Fleet: fleet, Relays: true, VMLag: vmLag, TargetArgs: s.targetArgs}, s.setup.Directory)
	if err != nil {
		return err
	}
	for _, n := range s.deployment.Nodes {
		s.processLog.add(n, started)
	}
	s.injector = &injector{deployment: s.deployment, processLog: s.processLog}
	s.publisher = &publisher{
		profile: s.profile, examples: filepath.Join(s.setup.Examples, s.setup.Deployment),
		directory: s.setup.Directory, deployment: s.deployment,
	}
	keys, err := ffdeployment.ReadKeys(s.publisher.examples)
	if err != nil {
		return err
	}
	s.load = newLoad(s.profile, s.deployment.Nodes, keys)
	s.load.duplicates.seed = s.setup.Seed
	return s.publishFirst(ctx)
}

func (s *soak) recordDirectory() string { return filepath.Join(s.setup.Directory, "records") }

// targetArgs returns the arguments of a target, with a new record file for each start.
func (s *soak) targetArgs(vm ffmember.VM) []string {
	n := strconv.FormatInt(s.starts.Add(1), 10)
	args := []string{"--record", filepath.Join(s.recordDirectory(), vm.Name+"-"+n+".jsonl"), "--work-path"}
	for path, work := range s.profile.Work {
		args = append(args, path+"="+work)
	}
	return args
}

func (s *soak) publishFirst(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.publisher.publish(ctx, ChangeAmend); err != nil {
		return err
	}
	_, err := s.deployment.AwaitVersion(ctx, s.deployment.Nodes, s.publisher.publications[0].Version)
	return err
}

// run sends the load, publishes versions and injects faults concurrently.
func (s *soak) run(ctx context.Context) error {
	sampling, stop := context.WithCancel(ctx)
	var samplers sync.WaitGroup
	for _, n := range s.deployment.Nodes {
		w := &nodeSampler{sampler: &s.sampler, node: n}
		samplers.Go(func() { w.run(sampling) })
	}
	defer samplers.Wait()
	defer stop()
	start := time.Now()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.publisher.run(ctx, start, s.schedule.Changes) })
	g.Go(func() error { return s.injector.run(ctx, start, s.schedule.Faults) })
	g.Go(func() error { s.load.duplicates.run(ctx, start.Add(s.setup.For)); return nil })
	g.Go(func() error {
		generator := ffgenerator.Generator{Streams: s.load.streams, Seed: s.setup.Seed, Duration: s.setup.For, KeepCalls: true}
		s.results = generator.Run(ctx)
		return nil
	})
	if err := g.Wait(); err != nil {
		return errors.Join(err, s.processLog.unexpectedExits())
	}
	if err := s.processLog.unexpectedExits(); err != nil {
		return err
	}
	published := s.publisher.publications
	sleepUntil(sampling, published[len(published)-1].At.Add(settleTime))
	return nil
}

func (s *soak) record() (*Record, error) {
	ended := time.Now()
	executions, err := readExecutions(s.recordDirectory())
	if err != nil {
		return nil, err
	}
	processes, err := s.processLog.records()
	if err != nil {
		return nil, err
	}
	return &Record{
		Deployment: s.setup.Deployment, Seed: s.setup.Seed, Schedule: s.schedule, VMs: s.deployment.VMs(),
		Faults: s.injector.injected, Publications: s.publisher.publications, Processes: processes,
		Samples: s.sampler.samples, Calls: s.load.calls(s.results), Executions: executions, Ended: ended,
	}, nil
}
