package ffdistribution_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
	"fireflyfall.dev/fireflyfall/pkg/ffdeclaration"
)

const (
	// perDataCentre is the number of daemons in each data centre of the deployment.
	perDataCentre = 4
	// convergeTimeout bounds the wait for a version to be active in every daemon.
	convergeTimeout = 20 * time.Second
	// faultDuration is how long faults last after the publication.
	faultDuration = time.Second
	// freezeDuration is how long faults last if a daemon is frozen; it exceeds the
	// threshold of pause detection.
	freezeDuration = 2500 * time.Millisecond
	// pairSeed seeds the choice of fault pairs; pairCount is their number.
	pairSeed  = 594
	pairCount = 4
	// amendedContract is the file that each version changes.
	amendedContract = "contracts/growers-ragusa.yaml"
)

// testDeployment is a deployment of separate processes to which the test publishes
// versions.
type testDeployment struct {
	*ffdeployment.Deployment
	directory string
	number    uint64
	pending   pendingVersion
	// converged is the last version that was active in every daemon.
	converged ffconfig.Version
	// republish is true if the pending version was corrupt on the platform, so that
	// another version must be published.
	republish bool
}

// pendingVersion is a version built for publication during the faults.
type pendingVersion struct {
	bundle  string
	version ffconfig.Version
	// amended is the digest of the piece that the version changes.
	amended ffconfig.Digest
}

func deploy(ctx context.Context, t *testing.T) *testDeployment {
	t.Helper()
	var fleet []ffmember.VM
	for _, dataCentre := range []string{faultyDataCentre, restartedDataCentre, thirdDataCentre} {
		for i := range perDataCentre {
			fleet = append(fleet, ffmember.VM{Name: fmt.Sprintf("%s-%d", dataCentre, i), DataCentre: dataCentre, Service: "prenota"})
		}
	}
	directory := t.TempDir()
	if err := os.CopyFS(filepath.Join(directory, "declarations"), os.DirFS("../../examples/sicily")); err != nil {
		t.Fatal(err)
	}
	plan := ffdeployment.Plan{Fleet: fleet, Relays: true, WithoutTargets: true, DaemonArgs: []string{"--log-level", "warn"}}
	d, err := ffdeployment.Start(ctx, plan, directory)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return &testDeployment{Deployment: d, directory: directory}
}

// build builds a version with the given number and contract burst limit.
func (d *testDeployment) build(number uint64, burst int) (pendingVersion, error) {
	declarations := filepath.Join(d.directory, "declarations")
	file := filepath.Join(declarations, amendedContract)
	content, err := os.ReadFile(filepath.Join("../../examples/sicily", amendedContract))
	if err != nil {
		return pendingVersion{}, err
	}
	amended := strings.Replace(string(content), "burst: 200", fmt.Sprintf("burst: %d", burst), 1)
	if err := os.WriteFile(file, []byte(amended), 0o600); err != nil {
		return pendingVersion{}, err
	}
	bundle, version, err := d.Build(declarations, number)
	if err != nil {
		return pendingVersion{}, err
	}
	p := pendingVersion{bundle: bundle, version: version}
	read, err := ffdeclaration.ReadBundle(bundle)
	if err != nil {
		return p, err
	}
	for _, ref := range read.Snapshot.Manifest().Pieces {
		if ref.Kind == ffconfig.PieceContract && ref.Name == "growers-ragusa" {
			p.amended = ref.Digest
		}
	}
	return p, nil
}

func (d *testDeployment) prepareNext() error {
	d.number++
	var err error
	d.pending, err = d.build(d.number, int(1000+d.number))
	return err
}

func (d *testDeployment) publish(ctx context.Context) error {
	return d.Platform.PublishBundle(ctx, d.pending.bundle)
}

// publishConflicting publishes different content under the pending number, so that
// the newer of the two is published last.
func (d *testDeployment) publishConflicting(ctx context.Context) error {
	conflicting, err := d.build(d.number, int(5000+d.number))
	if err != nil {
		return err
	}
	first := d.pending
	d.pending.version = newest(first.version, conflicting.version)
	if err := d.Platform.PublishBundle(ctx, conflicting.bundle); err != nil || d.pending.version == conflicting.version {
		return err
	}
	return d.Platform.PublishBundle(ctx, first.bundle)
}

// await waits until the pending version is active in every daemon.
func (d *testDeployment) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	if _, err := d.AwaitVersion(ctx, d.Nodes, d.pending.version); err != nil {
		return err
	}
	d.converged = d.pending.version
	return nil
}

// publishAndAwait builds and publishes a version without faults and waits for it.
func (d *testDeployment) publishAndAwait(ctx context.Context) error {
	if err := d.prepareNext(); err != nil {
		return err
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	return d.await(ctx)
}

// runFaults injects faults while a version is published. It returns an error if the
// version is not active everywhere after the faults end.
func (d *testDeployment) runFaults(ctx context.Context, set faultSet) error {
	names := set.names
	if err := d.publishAndAwait(ctx); err != nil {
		return fmt.Errorf("before the faults: %w", err)
	}
	if err := d.prepareNext(); err != nil {
		return err
	}
	if err := d.inject(ctx, names, func(i injection) phase { return i.begin }); err != nil {
		return err
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	if err := d.inject(ctx, names, func(i injection) phase { return i.during }); err != nil {
		return err
	}
	behind := d.waitDuringFaults(ctx, set.duration())
	if behind < set.behind {
		return fmt.Errorf("only %d daemons are behind during the faults, want %d", behind, set.behind)
	}
	if err := d.inject(ctx, names, func(i injection) phase { return i.end }); err != nil {
		return err
	}
	if d.republish {
		d.republish = false
		return d.publishAndAwait(ctx)
	}
	return d.await(ctx)
}

// waitDuringFaults waits for the given duration and returns the number of daemons
// that did not have the pending version by then.
func (d *testDeployment) waitDuringFaults(ctx context.Context, duration time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	seen, _ := d.AwaitVersion(ctx, d.Nodes, d.pending.version)
	<-ctx.Done()
	behind := 0
	for _, at := range seen {
		if at.IsZero() {
			behind++
		}
	}
	return behind
}

// faultSet is one line of testdata/faults.txt or a random pair of faults.
type faultSet struct {
	names  []string
	behind int
}

func (s faultSet) duration() time.Duration {
	if slices.Contains(s.names, "frozen") {
		return freezeDuration
	}
	return faultDuration
}

type phase = func(context.Context, *testDeployment) error

func (d *testDeployment) inject(ctx context.Context, names []string, choose func(injection) phase) error {
	for _, name := range names {
		if do := choose(injections[name]); do != nil {
			if err := do(ctx, d); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return nil
}

// verify checks the audit trail of every daemon: applied versions never decrease, and
// the newest is not older than floor.
func (d *testDeployment) verify(ctx context.Context, t *testing.T, floor ffconfig.Version) {
	t.Helper()
	for _, n := range d.Nodes {
		events, err := n.Audit(ctx)
		if err != nil {
			t.Errorf("%s: %v", n.VM.Name, err)
			continue
		}
		verifyTrail(t, n.VM.Name, events, floor)
	}
}

func verifyTrail(t *testing.T, name string, events []ffaudit.Event, floor ffconfig.Version) {
	t.Helper()
	var last, highest uint64
	for _, e := range events {
		if e.Kind != ffaudit.KindVersionApplied {
			continue
		}
		var number uint64
		if _, err := fmt.Sscanf(e.Version, "%d@", &number); err != nil || number < last {
			t.Errorf("%s applied %s after version %d: %v", name, e.Version, last, err)
		}
		last, highest = number, max(highest, number)
	}
	if highest < floor.Number {
		t.Errorf("%s has newest version %d, older than %v", name, highest, floor)
	}
}

// TestProcessFaults injects each fault set of testdata/faults.txt, and seeded random
// pairs of faults, into a deployment of separate processes.
func TestProcessFaults(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d := deploy(ctx, t)
	for _, set := range append(readFaults(t), drawPairs()...) {
		t.Run(strings.Join(set.names, "+"), func(t *testing.T) {
			started := firstApplied(ctx, d)
			floor := d.converged
			if err := d.runFaults(ctx, set); err != nil {
				t.Fatal(err)
			}
			d.verify(ctx, t, floor)
			if slices.Contains(set.names, "frozen") {
				d.verifyPause(ctx, t, d.In(faultyDataCentre)[0])
			}
			d.verifyRestarted(ctx, t, started, floor)
		})
	}
}

// verifyPause checks that a daemon detected that it was frozen.
func (d *testDeployment) verifyPause(ctx context.Context, t *testing.T, n *ffdeployment.Node) {
	t.Helper()
	events, err := n.Audit(ctx)
	if err != nil || !slices.ContainsFunc(events, func(e ffaudit.Event) bool { return e.Kind == ffaudit.KindPauseDetected }) {
		t.Errorf("%s did not detect that it was frozen: %v", n.VM.Name, err)
	}
}

// firstApplied returns the time and identifier of the first version that each daemon
// applied.
func firstApplied(ctx context.Context, d *testDeployment) map[string]string {
	first := make(map[string]string)
	for _, n := range d.Nodes {
		events, err := n.Audit(ctx)
		if err != nil {
			continue
		}
		at := slices.IndexFunc(events, func(e ffaudit.Event) bool { return e.Kind == ffaudit.KindVersionApplied })
		if at >= 0 {
			first[n.VM.Name] = events[at].At.String() + " " + events[at].Version
		}
	}
	return first
}

// verifyRestarted checks that daemons restarted since before first applied a version
// that is not older than floor.
func (d *testDeployment) verifyRestarted(ctx context.Context, t *testing.T, before map[string]string, floor ffconfig.Version) {
	t.Helper()
	for name, first := range firstApplied(ctx, d) {
		if first == before[name] {
			continue
		}
		var number uint64
		version := first[strings.LastIndex(first, " ")+1:]
		if _, err := fmt.Sscanf(version, "%d@", &number); err != nil || number < floor.Number {
			t.Errorf("%s started with %s, older than %v, which was active everywhere: %v", name, version, floor, err)
		}
	}
}

func readFaults(t *testing.T) []faultSet {
	t.Helper()
	content, err := os.ReadFile("testdata/faults.txt")
	if err != nil {
		t.Fatal(err)
	}
	var sets []faultSet
	for line := range strings.Lines(string(content)) {
		if strings.TrimSpace(line) == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var set faultSet
		for _, field := range strings.Fields(line) {
			if _, err := fmt.Sscanf(field, "behind=%d", &set.behind); err == nil {
				continue
			}
			if _, ok := injections[field]; !ok {
				t.Fatalf("testdata/faults.txt: unknown fault %q", field)
			}
			set.names = append(set.names, field)
		}
		sets = append(sets, set)
	}
	return sets
}

func drawPairs() []faultSet {
	names := slices.Sorted(maps.Keys(injections))
	random := rand.New(rand.NewPCG(pairSeed, pairSeed))
	pairs := make([]faultSet, pairCount)
	for i := range pairs {
		order := random.Perm(len(names))
		pairs[i] = faultSet{names: []string{names[order[0]], names[order[1]]}}
	}
	return pairs
}
