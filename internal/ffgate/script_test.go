package ffgate_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// script runs the commands of one file of testdata against a gate. Lines that
// start with "> " are the expected output of the command before them.
type script struct {
	harness

	callByID    map[string]*sentCall
	tokenByName map[string]string
	snapshots   *snapshotSource
	drained     chan error
	out         []string
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScript(t, file) })
		})
	}
}

func runScript(t *testing.T, file string) {
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	s := &script{harness: harness{target: &fakeTarget{}, maxRecords: fewRecords}, callByID: make(map[string]*sentCall), tokenByName: make(map[string]string)}
	s.startGate()
	var lines []string
	for line := range strings.Lines(string(content)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "> ") {
			continue
		}
		lines = append(lines, line)
		s.out = nil
		if words := strings.Fields(line); len(words) > 0 && !strings.HasPrefix(line, "#") {
			s.command(t, words[0], words[1:])
			synctest.Wait()
		}
		lines = append(lines, s.out...)
	}
	s.finish()
	if diff := cmp.Diff(strings.Split(strings.TrimSpace(string(content)), "\n"), lines); diff != "" {
		t.Errorf("output differs (-script +gate):\n%s", diff)
	}
	for _, violation := range s.target.violations {
		t.Error(violation)
	}
}

// startGate starts a new incarnation of the gate with the initial configuration.
func (s *script) startGate() {
	s.restart()
	s.snapshots = &snapshotSource{newSnapshot(1, allRoutes...)}
	s.gate.Snapshots = s.snapshots
	s.gate.OnDrain = func() { s.print("announced") }
}

func (s *script) print(line string) { s.out = append(s.out, "> "+line) }

// drain drains the gate.
func (s *script) drain() { s.drained <- s.gate.Drain(context.Background()) }

func (s *script) command(t *testing.T, name string, args []string) {
	switch name {
	case "call":
		s.sendCalls(args)
	case "mint":
		token, err := s.gate.Mint("a", args[1])
		s.tokenByName[args[0]] = token
		if err != nil {
			s.print(formatResult(nil, err))
		}
	case "answer", "shed", "unreachable", "late", "cut":
		s.endCalls(name, args)
	case "cancel":
		s.callByID[args[0]].cancel()
	case "wait":
		s.sleep(parseDuration(args[0]))
	case "pauseBefore":
		n, _ := strconv.Atoi(args[0])
		s.clock.runBeforeRead(n, func() { s.clock.advance(parseDuration(args[1])) })
	case "cancelBefore":
		n, _ := strconv.Atoi(args[0])
		s.clock.runBeforeRead(n, func() { s.sentCalls[len(s.sentCalls)-1].cancel() })
	case "restart":
		s.startGate()
	case "config":
		s.snapshots.current = newSnapshot(2, args...)
	case "drain":
		s.drained = make(chan error, 1)
		go s.drain()
	default:
		s.query(t, name, args)
	}
}

// query prints a result or some state of the gate or the target.
func (s *script) query(t *testing.T, name string, args []string) {
	switch name {
	case "result":
		x := s.callByID[args[0]]
		if !x.returned {
			s.print("waiting")
			return
		}
		s.print(formatResult(x.reply, x.err))
	case "running":
		s.print(s.target.runningIDs())
	case "settle":
		s.print(formatResult(s.settle(&ffcall.Call{ID: args[0], Customer: args[1]})))
	case "outcome":
		s.print(formatResult(s.gate.Outcome(context.Background(), args[0], args[1], time.Now())))
	case "load":
		l := s.gate.Load()
		s.print(fmt.Sprintf("free %d short %d long %d", l.FreeSlots, l.QueuedShort, l.QueuedLong))
	case "metric":
		s.print(s.metric(t, args[0]))
	case "drained":
		s.print(strconv.Itoa(len(s.drained)))
	default:
		t.Fatalf("unknown command %q", name)
	}
}

// metric returns the values of a metric, ordered by labels.
func (s *script) metric(t *testing.T, name string) string {
	r := prometheus.NewPedanticRegistry()
	r.MustRegister(s.gate)
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var values []string
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == name {
				n := m.GetGauge().GetValue() + m.GetCounter().GetValue() + float64(m.GetHistogram().GetSampleCount())
				values = append(values, fmt.Sprint(n))
			}
		}
	}
	return strings.Join(values, " ")
}

// sendCalls sends one or more calls. The arguments are an identifier, a route and
// fields such as customer=a.
func (s *script) sendCalls(args []string) {
	fields := map[string]string{"customer": "a", "timeout": "1s", "body": "x", "repeat": "1"}
	for _, arg := range args[2:] {
		name, value, _ := strings.Cut(arg, "=")
		fields[name] = value
	}
	repeat, _ := strconv.Atoi(fields["repeat"])
	for n := range repeat {
		id := args[0]
		if n > 0 {
			id += "." + strconv.Itoa(n)
		}
		route := newRoute(args[1])
		if fields["timeoutMillis"] != "" {
			route.TimeoutMillis++
		}
		s.send(&ffcall.Call{
			ID: id, Customer: fields["customer"], Share: 1, Route: route, Token: s.tokenByName[fields["token"]], Method: "POST",
			Body: []byte(fields["body"]), Deadline: s.clock.peek().Add(parseDuration(fields["timeout"])),
		}, time.Time{})
		s.callByID[id] = s.sentCalls[len(s.sentCalls)-1]
		synctest.Wait()
	}
}

func (s *script) endCalls(ending string, ids []string) {
	ends := map[string]error{"shed": errShed, "unreachable": errUnreachable, "late": errLate, "cut": merry.New("the connection broke")}
	for _, x := range s.target.runningCalls() {
		if len(ids) == 0 || strings.HasPrefix(x.call.ID, ids[0]) {
			x.end <- ends[ending]
		}
	}
}

func formatResult(reply *ffcall.Reply, err error) string {
	if err == nil {
		return string(reply.Body)
	}
	return ffcall.OutcomeOf(err).String() + " " + ffcall.KindOf(err).String()
}

func parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return d
}
