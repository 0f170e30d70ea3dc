package ffload

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

const (
	// uploadWork is the service time of an upload.
	uploadWork = 3 * time.Second
	// stepTimeout limits the duration of one step of the demo.
	stepTimeout = 30 * time.Second
	// floodCalls is the number of calls that the careless customer sends in a row.
	floodCalls = 60
	// firstVersion and amendedVersion are the version numbers that the demo publishes.
	firstVersion   = 1
	amendedVersion = 2
	// fileMode makes the demo's files writable only by their owner.
	fileMode = 0o644
)

// Demo is the demo subcommand: it runs a deployment on loopback, demonstrates its
// features and prints each step.
type Demo struct {
	Deployment string `arg:"positional,required" placeholder:"DEPLOYMENT" help:"sicily or ulaanbaatar"`
	Examples   string `arg:"--examples" default:"examples" help:"directory of the deployments"`
	PerService int    `arg:"--per-service" default:"2" help:"VMs of each service in each data centre; 0 for all"`
}

// demo is the state of a running demo.
type demo struct {
	out        io.Writer
	scenario   Scenario
	examples   string
	directory  string
	keys       map[string]string
	deployment *ffdeployment.Deployment
}

// Run starts the deployment, runs every step and closes the deployment. It fails at
// the first step that fails.
func (c *Demo) Run(ctx context.Context, out io.Writer) error {
	scenario, err := ReadScenario(c.Deployment)
	if err != nil {
		return err
	}
	directory, err := os.MkdirTemp("", "fireflyfall-demo-")
	if err != nil {
		return &Error{Op: "demo", Kind: KindFile, Err: err}
	}
	defer func() { _ = os.RemoveAll(directory) }()
	d := &demo{out: out, scenario: scenario, examples: filepath.Join(c.Examples, c.Deployment), directory: directory}
	if err := d.start(ctx, c.PerService); err != nil {
		return err
	}
	defer d.deployment.Close()
	return d.steps(ctx)
}

func (d *demo) start(ctx context.Context, perService int) error {
	fleet, err := ffdeployment.ReadFleet(d.examples)
	if err != nil {
		return err
	}
	if perService > 0 {
		fleet = ffdeployment.Sample(fleet, perService)
	}
	if d.keys, err = ffdeployment.ReadKeys(d.examples); err != nil {
		return err
	}
	d.deployment, err = ffdeployment.Start(ctx, ffdeployment.Plan{Fleet: fleet, TargetArgs: demoTarget}, d.directory)
	if err != nil {
		return err
	}
	d.printf("started the platform's stand-in and %d VMs, each a target and a daemon, in %s", len(fleet), strings.Join(d.deployment.DataCentres(), ", "))
	return nil
}

func demoTarget(ffmember.VM) []string {
	return []string{"--work-path", "/photos=" + uploadWork.String()}
}

func (d *demo) printf(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

func (d *demo) steps(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		d.publishFirst, d.callOnce, d.lookUp, d.repeatWithToken, d.callWithWrongKey, d.amend, d.enforceContract, d.stopDuringUpload,
	} {
		limited, cancel := context.WithTimeout(ctx, stepTimeout)
		err := step(limited)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) publishFirst(ctx context.Context) error {
	return d.publish(ctx, d.examples, firstVersion)
}

// publish publishes declarations and waits until every daemon has applied them.
func (d *demo) publish(ctx context.Context, declarations string, number uint64) error {
	start := time.Now()
	v, err := d.deployment.Publish(ctx, declarations, number)
	if err != nil {
		return err
	}
	if _, err := d.deployment.AwaitVersion(ctx, d.deployment.Nodes, v); err != nil {
		return err
	}
	d.printf("version %s is in force in all %d daemons after %d ms", v, len(d.deployment.Nodes), time.Since(start).Milliseconds())
	return nil
}

// client returns a client that sends a customer's calls to the daemons of the given nodes.
func (d *demo) client(customer string, nodes []*ffdeployment.Node) *ffclient.Client {
	c := &ffclient.Client{Key: d.keys[customer]}
	for _, n := range nodes {
		c.Addresses = append(c.Addresses, n.CallerAddress)
	}
	return c
}

func requestOf(c ScenarioCall) ffclient.Request {
	return ffclient.Request{Method: c.Method, Path: c.Path, Body: []byte(c.Body)}
}

// callEach sends a call through one daemon of each data centre.
func (d *demo) callEach(ctx context.Context, call ScenarioCall) error {
	for _, dataCentre := range d.deployment.DataCentres() {
		answer, err := d.client(call.Customer, d.deployment.In(dataCentre)).Do(ctx, requestOf(call))
		if err != nil {
			return err
		}
		if answer.Status != http.StatusOK {
			return brokenError("%s %s: status %d, %s", call.Method, call.Path, answer.Status, answer.Reason)
		}
		d.printf("%s through %s: %s %s", call.Customer, dataCentre, answer.Outcome, answer.Body)
	}
	return nil
}

func (d *demo) callOnce(ctx context.Context) error { return d.callEach(ctx, d.scenario.Once) }

func (d *demo) lookUp(ctx context.Context) error { return d.callEach(ctx, d.scenario.Lookup) }

// repeatWithToken sends a call twice with the same token and checks that both answers
// have the same body.
func (d *demo) repeatWithToken(ctx context.Context) error {
	call := d.scenario.Once
	c := d.client(call.Customer, d.deployment.Nodes)
	token, err := c.Mint(ctx, call.Route)
	if err != nil {
		return err
	}
	r := requestOf(call)
	r.Token = token
	first, err := c.DoOnce(ctx, call.Route, r)
	if err != nil {
		return err
	}
	second, err := c.DoOnce(ctx, call.Route, r)
	if err != nil {
		return err
	}
	if string(first.Body) != string(second.Body) {
		return brokenError("the same token returned two different answers: %s and %s", first.Body, second.Body)
	}
	d.printf("%s sent one %s twice with one token, through two daemons: both got the answer of its only run", call.Customer, call.Route)
	return nil
}

func (d *demo) callWithWrongKey(ctx context.Context) error {
	c := &ffclient.Client{Addresses: []string{d.deployment.Nodes[0].CallerAddress}, Key: "not a key"}
	answer, err := c.Do(ctx, requestOf(d.scenario.Lookup))
	if err != nil {
		return err
	}
	d.printf("a caller with a wrong key: status %d, outcome %s", answer.Status, answer.Outcome)
	return nil
}

// amend changes one contract and publishes the next version.
func (d *demo) amend(ctx context.Context) error {
	declarations := filepath.Join(d.directory, "amended")
	if err := os.CopyFS(declarations, os.DirFS(d.examples)); err != nil {
		return &Error{Op: "amend", Kind: KindFile, Err: err}
	}
	a := d.scenario.Amend
	path := filepath.Join(declarations, "contracts", a.Customer+".yaml")
	content, err := os.ReadFile(path)
	if err != nil {
		return &Error{Op: "amend", Kind: KindFile, Err: err}
	}
	amended := strings.Replace(string(content), a.From, a.To, 1)
	if err := os.WriteFile(path, []byte(amended), fileMode); err != nil {
		return &Error{Op: "amend", Kind: KindFile, Err: err}
	}
	d.printf("amended the contract of %s: %s becomes %s", a.Customer, a.From, a.To)
	return d.publish(ctx, declarations, amendedVersion)
}

// enforceContract sends more calls of the careless customer than its contract allows
// and checks that some are refused.
func (d *demo) enforceContract(ctx context.Context) error {
	call := d.scenario.Careless
	c := d.client(call.Customer, d.deployment.Nodes)
	counts := make(map[int]int)
	for range floodCalls {
		answer, err := c.Do(ctx, requestOf(call))
		if err != nil {
			return err
		}
		counts[answer.Status]++
	}
	d.printf("%s sent %d calls at once: %d answered, %d refused as not run by its contract", call.Customer, floodCalls, counts[http.StatusOK], counts[http.StatusTooManyRequests])
	if counts[http.StatusTooManyRequests] == 0 {
		return brokenError("the contract of %s refused no call", call.Customer)
	}
	return nil
}

// stopDuringUpload stops the daemon of the VM that runs an upload, prints the answer
// of the upload and calls every data centre again.
func (d *demo) stopDuringUpload(ctx context.Context) error {
	call := d.scenario.Upload
	c := d.client(call.Customer, d.deployment.Nodes[:1])
	u := &upload{client: c, request: requestOf(call), done: make(chan uploadResult, 1)}
	go u.run(ctx)
	busy, err := d.busyNode(ctx, call.Service)
	if err != nil {
		return err
	}
	d.printf("%s uploads through %s; its target %s is asked to stop meanwhile", call.Customer, d.deployment.Nodes[0].VM.Name, busy.VM.Name)
	if err := busy.Daemon.Stop(ctx); err != nil {
		return err
	}
	result := <-u.done
	if result.err != nil {
		return result.err
	}
	d.printf("the daemon has stopped; the upload: status %d, outcome %s, %s", result.answer.Status, result.answer.Outcome, result.answer.Body)
	return d.lookUp(ctx)
}

// uploadResult is the outcome of an upload.
type uploadResult struct {
	answer *ffclient.Answer
	err    error
}

// upload is a long call that runs in the background.
type upload struct {
	client  *ffclient.Client
	request ffclient.Request
	done    chan uploadResult
}

func (u *upload) run(ctx context.Context) {
	answer, err := u.client.Do(ctx, u.request)
	u.done <- uploadResult{answer: answer, err: err}
}

// busyNode polls until a target of a service is running a call, and returns its node.
func (d *demo) busyNode(ctx context.Context, service string) (*ffdeployment.Node, error) {
	for ctx.Err() == nil {
		for _, n := range d.deployment.Nodes {
			if n.VM.Service != service {
				continue
			}
			all, err := n.Target.Executions(ctx)
			if err != nil {
				return nil, err
			}
			if len(all) > 0 && all[len(all)-1].Ended.IsZero() {
				return n, nil
			}
		}
	}
	return nil, &Error{Op: "demo", Kind: KindDeadline, Err: merry.New("no target is running the upload")}
}

// brokenError returns an error for a feature that did not work as promised.
func brokenError(format string, args ...any) error {
	return &Error{Op: "demo", Kind: KindBroken, Err: merry.Errorf(format, args...)}
}
