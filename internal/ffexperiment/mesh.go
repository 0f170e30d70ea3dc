package ffexperiment

import (
	"context"
	"embed"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/internal/ffgenerator"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

//go:embed declarations
var declarations embed.FS

const (
	// startTimeout limits the wait until every daemon has the first version.
	startTimeout = 30 * time.Second
	// warmUp is how long a deployment serves calls before a measurement.
	warmUp = 2 * time.Second
	// warmUpRate is the rate of these calls, in calls a second.
	warmUpRate = 200
	// slots and shortServiceTime are the number of slots of every target and its
	// service time for short calls.
	slots            = 4
	shortServiceTime = 20 * time.Millisecond
	// service is the name of the only service.
	service = "desk"
)

// mesh is a running deployment of one service.
type mesh struct {
	deployment *ffdeployment.Deployment
	addresses  []string
	seed       uint64
}

// startMesh starts a deployment with the given number of targets in one data centre,
// with the policies listed in off disabled, and publishes its configuration.
func startMesh(ctx context.Context, s Setup, targets int, targetArgs []string, off ...string) (*mesh, error) {
	directory, err := extract(s.Directory)
	if err != nil {
		return nil, err
	}
	plan := ffdeployment.Plan{
		Fleet:      fleet(targets),
		TargetArgs: func(ffmember.VM) []string { return targetArgs },
	}
	if len(off) > 0 {
		plan.DaemonArgs = append([]string{"--off"}, off...)
	}
	d, err := ffdeployment.Start(ctx, plan, s.Directory)
	if err != nil {
		return nil, err
	}
	m := &mesh{deployment: d, seed: s.Seed}
	if err := m.publish(ctx, directory); err != nil {
		d.Close()
		return nil, err
	}
	return m, nil
}

func (m *mesh) publish(ctx context.Context, directory string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	v, err := m.deployment.Publish(ctx, directory, 1)
	if err != nil {
		return err
	}
	if _, err := m.deployment.AwaitVersion(ctx, m.deployment.Nodes, v); err != nil {
		return err
	}
	for _, n := range m.deployment.Nodes {
		m.addresses = append(m.addresses, n.CallerAddress)
	}
	return nil
}

func (m *mesh) close() { m.deployment.Close() }

// extract writes the embedded declarations to a subdirectory and returns its path.
func extract(directory string) (string, error) {
	into := filepath.Join(directory, "mesh")
	if err := os.RemoveAll(into); err != nil {
		return "", &Error{Op: "extract", Kind: KindFile, Err: err}
	}
	sub, err := fs.Sub(declarations, "declarations")
	if err != nil {
		return "", &Error{Op: "extract", Kind: KindFile, Err: err}
	}
	if err := os.CopyFS(into, sub); err != nil {
		return "", &Error{Op: "extract", Kind: KindFile, Err: err}
	}
	return into, nil
}

func fleet(targets int) []ffmember.VM {
	vms := make([]ffmember.VM, targets)
	for i := range vms {
		vms[i] = ffmember.VM{Name: fmt.Sprintf("desk-%d", i+1), DataCentre: "one", Service: service}
	}
	return vms
}

// targetArgs returns the arguments of a target with the given service times for short
// and long calls.
func targetArgs(short, long time.Duration) []string {
	return []string{
		"--slots", fmt.Sprint(slots), "--backlog", "1000", "--work", short.String(),
		"--work-path", "/batches=" + long.String(),
	}
}

// client returns a client of a customer that uses every daemon.
func (m *mesh) client(customer string) *ffclient.Client {
	return &ffclient.Client{Addresses: m.addresses, Key: customer + "-key", HTTP: ffgenerator.NewHTTPClient()}
}

// lookups returns a stream of short idempotent calls. Answers later than lateAfter
// count as late, unless it is zero.
func (m *mesh) lookups(customer string, rate float64, lateAfter time.Duration) ffgenerator.Stream {
	return ffgenerator.Stream{
		Name:      customer,
		Client:    m.client(customer),
		Request:   ffclient.Request{Method: "GET", Path: "/items"},
		Rate:      rate,
		LateAfter: lateAfter,
	}
}

// batches returns a stream of long calls.
func (m *mesh) batches(customer string, rate float64) ffgenerator.Stream {
	return ffgenerator.Stream{
		Name:    "batches",
		Client:  m.client(customer),
		Request: ffclient.Request{Method: "PUT", Path: "/batches", Body: []byte(strings.Repeat("photo", 1000))},
		Rate:    rate,
	}
}

// run sends the calls of the streams for d and returns one result per stream.
func (m *mesh) run(ctx context.Context, d time.Duration, streams ...ffgenerator.Stream) []*ffgenerator.Result {
	g := ffgenerator.Generator{Streams: streams, Seed: m.seed, Duration: d}
	return g.Run(ctx)
}

// warm sends unmeasured calls before a measurement.
func (m *mesh) warm(ctx context.Context) { m.run(ctx, warmUp, m.lookups("large", warmUpRate, 0)) }

// millis returns d in milliseconds.
func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
