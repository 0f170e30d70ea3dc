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
	// awaitTime bounds the wait for a version; the wait ends as soon as it is in force.
	awaitTime = 20 * time.Second
	// faultTime is how long faults last after the publication.
	faultTime = time.Second
	// frozenTime is how long they last when a daemon is frozen, beyond the limit
	// from which it takes itself for paused.
	frozenTime = 2500 * time.Millisecond
	// pairSeed chooses the pairs of faults; pairCount is their number.
	pairSeed  = 594
	pairCount = 4
	// amendedContract is the file that each version changes.
	amendedContract = "contracts/growers-ragusa.yaml"
)

// deployed is a deployment of real processes whose versions the test publishes.
type deployed struct {
	*ffdeployment.Deployment
	directory string
	number    uint64
	pending   pending
	// everywhere is the version that was last seen in force in every daemon.
	everywhere ffconfig.Version
	// republish tells that the pending version was damaged at the source.
	republish bool
}

// pending is the version that is published while a fault lasts.
type pending struct {
	bundle  string
	version ffconfig.Version
	// amended is the digest of the piece that the version changes.
	amended ffconfig.Digest
}

func deploy(ctx context.Context, t *testing.T) *deployed {
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
	return &deployed{Deployment: d, directory: directory}
}

// build prepares a version under a number, with a limit of its own.
func (d *deployed) build(number uint64, burst int) (pending, error) {
	declarations := filepath.Join(d.directory, "declarations")
	file := filepath.Join(declarations, amendedContract)
	content, err := os.ReadFile(filepath.Join("../../examples/sicily", amendedContract))
	if err != nil {
		return pending{}, err
	}
	amended := strings.Replace(string(content), "burst: 200", fmt.Sprintf("burst: %d", burst), 1)
	if err := os.WriteFile(file, []byte(amended), 0o600); err != nil {
		return pending{}, err
	}
	bundle, version, err := d.Build(declarations, number)
	if err != nil {
		return pending{}, err
	}
	p := pending{bundle: bundle, version: version}
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

func (d *deployed) next() error {
	d.number++
	var err error
	d.pending, err = d.build(d.number, int(1000+d.number))
	return err
}

func (d *deployed) publish(ctx context.Context) error {
	return d.Platform.PublishBundle(ctx, d.pending.bundle)
}

// publishRival publishes other content under the pending number.
func (d *deployed) publishRival(ctx context.Context) error {
	rival, err := d.build(d.number, int(5000+d.number))
	if err != nil {
		return err
	}
	first := d.pending
	d.pending.version = greatest(first.version, rival.version)
	if err := d.Platform.PublishBundle(ctx, rival.bundle); err != nil || d.pending.version == rival.version {
		return err
	}
	return d.Platform.PublishBundle(ctx, first.bundle)
}

// await waits until the pending version is in force in every daemon.
func (d *deployed) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTime)
	defer cancel()
	if _, err := d.AwaitVersion(ctx, d.Nodes, d.pending.version); err != nil {
		return err
	}
	d.everywhere = d.pending.version
	return nil
}

// settle publishes one more version without any fault.
func (d *deployed) settle(ctx context.Context) error {
	if err := d.next(); err != nil {
		return err
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	return d.await(ctx)
}

// run brings about the faults while a version is published, and returns an
// error when it is not in force everywhere after they have ended.
func (d *deployed) run(ctx context.Context, set faultSet) error {
	names := set.names
	if err := d.settle(ctx); err != nil {
		return fmt.Errorf("before the faults: %w", err)
	}
	if err := d.next(); err != nil {
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
	behind := d.hold(ctx, set.time())
	if behind < set.behind {
		return fmt.Errorf("only %d daemons are behind during the faults, want %d", behind, set.behind)
	}
	if err := d.inject(ctx, names, func(i injection) phase { return i.end }); err != nil {
		return err
	}
	if d.republish {
		d.republish = false
		return d.settle(ctx)
	}
	return d.await(ctx)
}

// hold lets the faults last and returns how many daemons do not have the pending version then.
func (d *deployed) hold(ctx context.Context, faults time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, faults)
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

// faultSet is one line of the data file.
type faultSet struct {
	names  []string
	behind int
}

func (s faultSet) time() time.Duration {
	if slices.Contains(s.names, "frozen") {
		return frozenTime
	}
	return faultTime
}

type phase = func(context.Context, *deployed) error

func (d *deployed) inject(ctx context.Context, names []string, choose func(injection) phase) error {
	for _, name := range names {
		if do := choose(injections[name]); do != nil {
			if err := do(ctx, d); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return nil
}

// verify checks the audit trail of every daemon: versions in force rise, and a
// daemon that started after a version was everywhere never had an older one.
func (d *deployed) verify(ctx context.Context, t *testing.T, floor ffconfig.Version) {
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
	var last, newest uint64
	for _, e := range events {
		if e.Kind != ffaudit.KindVersionApplied {
			continue
		}
		var number uint64
		if _, err := fmt.Sscanf(e.Version, "%d@", &number); err != nil || number < last {
			t.Errorf("%s put %s in force after version %d: %v", name, e.Version, last, err)
		}
		last, newest = number, max(newest, number)
	}
	if newest < floor.Number {
		t.Errorf("%s ended on version %d, older than %v", name, newest, floor)
	}
}

// TestFaultsOfRealProcesses brings about each fault of testdata/faults.txt, and
// pairs chosen by seed, in a deployment of separate processes.
func TestFaultsOfRealProcesses(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d := deploy(ctx, t)
	for _, set := range append(readFaults(t), drawPairs()...) {
		t.Run(strings.Join(set.names, "+"), func(t *testing.T) {
			started := firstApplied(ctx, d)
			floor := d.everywhere
			if err := d.run(ctx, set); err != nil {
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

// verifyPause checks that a daemon noticed that it was frozen.
func (d *deployed) verifyPause(ctx context.Context, t *testing.T, n *ffdeployment.Node) {
	t.Helper()
	events, err := n.Audit(ctx)
	if err != nil || !slices.ContainsFunc(events, func(e ffaudit.Event) bool { return e.Kind == ffaudit.KindPauseDetected }) {
		t.Errorf("%s did not notice that it was frozen: %v", n.VM.Name, err)
	}
}

// firstApplied returns the first version that each daemon put in force.
func firstApplied(ctx context.Context, d *deployed) map[string]string {
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

// verifyRestarted checks that daemons which started meanwhile began at the floor or above.
func (d *deployed) verifyRestarted(ctx context.Context, t *testing.T, before map[string]string, floor ffconfig.Version) {
	t.Helper()
	for name, first := range firstApplied(ctx, d) {
		if first == before[name] {
			continue
		}
		var number uint64
		version := first[strings.LastIndex(first, " ")+1:]
		if _, err := fmt.Sscanf(version, "%d@", &number); err != nil || number < floor.Number {
			t.Errorf("%s started with %s, older than %v, which was everywhere: %v", name, version, floor, err)
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
		for _, word := range strings.Fields(line) {
			if _, err := fmt.Sscanf(word, "behind=%d", &set.behind); err == nil {
				continue
			}
			if _, ok := injections[word]; !ok {
				t.Fatalf("testdata/faults.txt names unknown fault %q", word)
			}
			set.names = append(set.names, word)
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
