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
// start with "> " are what the commands before them print.
type script struct {
	machine

	byID      map[string]*sent
	byName    map[string]string
	snapshots *snapshot
	drained   chan error
	out       []string
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
	s := &script{machine: machine{target: &fakeTarget{}, records: fewRecords}, byID: make(map[string]*sent), byName: make(map[string]string)}
	s.start()
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
		t.Errorf("the script says -, the gate +\n%s", diff)
	}
	for _, fault := range s.target.faults {
		t.Error(fault)
	}
}

func (s *script) start() {
	s.restart()
	s.snapshots = &snapshot{newSnapshot(1, allRoutes...)}
	s.gate.Snapshots = s.snapshots
	s.gate.Announce = func() { s.print("announced") }
}

func (s *script) print(line string) { s.out = append(s.out, "> "+line) }

// run drains the gate.
func (s *script) run() { s.drained <- s.gate.Drain(context.Background()) }

func (s *script) command(t *testing.T, name string, args []string) {
	switch name {
	case "call":
		s.callOf(args)
	case "mint":
		token, err := s.gate.Mint("a", args[1])
		s.byName[args[0]] = token
		if err != nil {
			s.print(describe(nil, err))
		}
	case "answer", "shed", "unreachable", "late", "cut":
		s.endOf(name, args)
	case "cancel":
		s.byID[args[0]].cancel()
	case "wait":
		s.advance(durationOf(args[0]))
	case "pauseBefore":
		n, _ := strconv.Atoi(args[0])
		s.clock.before(n, func() { s.clock.advance(durationOf(args[1])) })
	case "cancelBefore":
		n, _ := strconv.Atoi(args[0])
		s.clock.before(n, func() { s.sent[len(s.sent)-1].cancel() })
	case "restart":
		s.start()
	case "config":
		s.snapshots.current = newSnapshot(2, args...)
	case "drain":
		s.drained = make(chan error, 1)
		go s.run()
	default:
		s.query(t, name, args)
	}
}

// query prints what the gate or the target tells.
func (s *script) query(t *testing.T, name string, args []string) {
	switch name {
	case "result":
		x := s.byID[args[0]]
		if !x.told {
			s.print("waiting")
			return
		}
		s.print(describe(x.reply, x.err))
	case "running":
		s.print(s.target.ids())
	case "settle":
		s.print(describe(s.settle(&ffcall.Call{ID: args[0], Customer: args[1]})))
	case "outcome":
		s.print(describe(s.gate.Outcome(context.Background(), args[0], args[1], time.Now())))
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

// metric returns the values of a metric in order of its labels.
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

// callOf sends a call: an identifier, a route and fields such as customer=a.
func (s *script) callOf(args []string) {
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
		route := routeOf(args[1])
		if fields["timeoutMillis"] != "" {
			route.TimeoutMillis++
		}
		s.send(&ffcall.Call{
			ID: id, Customer: fields["customer"], Share: 1, Route: route, Token: s.byName[fields["token"]], Method: "POST",
			Body: []byte(fields["body"]), Deadline: s.clock.peek().Add(durationOf(fields["timeout"])),
		}, time.Time{})
		s.byID[id] = s.sent[len(s.sent)-1]
		synctest.Wait()
	}
}

func (s *script) endOf(how string, ids []string) {
	ends := map[string]error{"shed": errShed, "unreachable": errUnreachable, "late": errLate, "cut": merry.New("the connection broke")}
	for _, x := range s.target.snapshot() {
		if len(ids) == 0 || strings.HasPrefix(x.call.ID, ids[0]) {
			x.end <- ends[how]
		}
	}
}

func describe(reply *ffcall.Reply, err error) string {
	if err == nil {
		return string(reply.Body)
	}
	return ffcall.OutcomeOf(err).String() + " " + ffcall.KindOf(err).String()
}

func durationOf(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return d
}
