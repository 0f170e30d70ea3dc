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
	// startTimeout bounds the time until every daemon has the first version.
	startTimeout = 30 * time.Second
	// warmUp is the time in which a deployment takes calls before it is measured.
	warmUp = 2 * time.Second
	// warmUpRate is the rate of those calls, in calls a second.
	warmUpRate = 200
	// slots and work are those of every target.
	slots = 4
	work  = 20 * time.Millisecond
	// service is the name of the only service.
	service = "desk"
)

// mesh is a running deployment of one service.
type mesh struct {
	deployment *ffdeployment.Deployment
	addresses  []string
	seed       uint64
}

// startMesh starts targets in one data centre, with policies turned off.
func startMesh(ctx context.Context, s Setup, targets int, targetArgs []string, off ...string) (*mesh, error) {
	directory, err := extract(s.Directory)
	if err != nil {
		return nil, err
	}
	plan := ffdeployment.Plan{
		Fleet:   fleet(targets),
		Targets: func(ffmember.VM) []string { return targetArgs },
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
		m.addresses = append(m.addresses, n.Caller)
	}
	return nil
}

func (m *mesh) close() { m.deployment.Close() }

// extract writes the declarations of the experiments below a directory.
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

// targetArgs are the arguments of a target with a service time for short and long work.
func targetArgs(short, long time.Duration) []string {
	return []string{
		"--slots", fmt.Sprint(slots), "--backlog", "1000", "--work", short.String(),
		"--work-path", "/batches=" + long.String(),
	}
}

// client returns a client of a customer through every daemon.
func (m *mesh) client(customer string) *ffclient.Client {
	return &ffclient.Client{Addresses: m.addresses, Key: customer + "-key", HTTP: ffgenerator.NewHTTP()}
}

// lookups returns a stream of short calls that may be repeated.
func (m *mesh) lookups(customer string, rate float64, patience time.Duration) ffgenerator.Stream {
	return ffgenerator.Stream{
		Name:     customer,
		Client:   m.client(customer),
		Request:  ffclient.Request{Method: "GET", Path: "/items"},
		Rate:     rate,
		Patience: patience,
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

// run sends streams for a time.
func (m *mesh) run(ctx context.Context, d time.Duration, streams ...ffgenerator.Stream) []*ffgenerator.Result {
	g := ffgenerator.Generator{Streams: streams, Seed: m.seed, For: d}
	return g.Run(ctx)
}

// warm sends calls that are not measured.
func (m *mesh) warm(ctx context.Context) { m.run(ctx, warmUp, m.lookups("large", warmUpRate, 0)) }

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
