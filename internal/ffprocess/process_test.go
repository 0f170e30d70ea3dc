package ffprocess_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"fireflyfall.dev/fireflyfall/internal/ffprocess"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
)

// holderEnvVar makes the test binary start the given binary as a child process.
const holderEnvVar = "FFPROCESS_HOLD"

func TestMain(m *testing.M) {
	if path := os.Getenv(holderEnvVar); path != "" {
		hold(path)
	}
	directory, err := os.MkdirTemp("", "ffprocess")
	if err != nil {
		panic(err)
	}
	binaries.Directory = directory
	goleak.VerifyTestMain(m, goleak.Cleanup(func(status int) {
		_ = os.RemoveAll(directory)
		os.Exit(status)
	}))
}

// hold starts a stand-in platform, prints its address and blocks until it is killed.
func hold(path string) {
	var group ffprocess.Group
	p, err := group.Start(context.Background(), ffprocess.Spec{Path: path, Args: []string{"platform"}})
	if err != nil {
		panic(err)
	}
	line, err := p.AwaitLine(context.Background(), isListening)
	if err != nil {
		panic(err)
	}
	fmt.Println(line)
	select {}
}

// listening is the log line in which a stand-in reports its addresses.
type listening struct{ Message, Listen, Control string }

func isListening(line ffprocess.Line) bool {
	var l listening
	return line.Decode(&l) == nil && l.Message == "listening"
}

var binaries ffprocess.Binaries

func standPath(t *testing.T) string {
	t.Helper()
	path, err := binaries.Path(t.Context(), "fireflystand")
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// start starts a program and returns the addresses that it logs.
func start(t *testing.T, group *ffprocess.Group, spec ffprocess.Spec) (*ffprocess.Process, listening) {
	t.Helper()
	p, err := group.Start(t.Context(), spec)
	if err != nil {
		t.Fatal(err)
	}
	line, err := p.AwaitLine(t.Context(), isListening)
	if err != nil {
		t.Fatal(err)
	}
	var l listening
	if err := line.Decode(&l); err != nil {
		t.Fatal(err)
	}
	return p, l
}

// get sends a GET request and returns the status code of the response, or an error.
func get(ctx context.Context, url string, headers ...string) (int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

func TestFrozenProcessRespondsAfterResume(t *testing.T) {
	var group ffprocess.Group
	defer group.Close()
	p, l := start(t, &group, ffprocess.Spec{Name: "target", Path: standPath(t), Args: []string{"target"}})
	if err := p.Freeze(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if status, err := get(ctx, "http://"+l.Listen); err == nil {
		t.Fatalf("frozen process responded with status %d", status)
	}
	if err := p.Resume(); err != nil {
		t.Fatal(err)
	}
	if status, err := get(t.Context(), "http://"+l.Listen); err != nil || status != http.StatusOK {
		t.Fatalf("status %d, error %v", status, err)
	}
}

func TestStopCompletesRunningCalls(t *testing.T) {
	var group ffprocess.Group
	defer group.Close()
	p, l := start(t, &group, ffprocess.Spec{Name: "target", Path: standPath(t), Args: []string{"target"}})
	var calls sync.WaitGroup
	calls.Go(func() {
		if status, err := get(t.Context(), "http://"+l.Listen, "Stand-Work-Millis", "300"); err != nil || status != http.StatusOK {
			t.Errorf("status %d, error %v", status, err)
		}
	})
	control := ffstand.TargetControl{Address: l.Control}
	for {
		executions, err := control.Executions(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if len(executions) > 0 {
			break
		}
	}
	if err := p.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	calls.Wait()
}

func TestRecordSurvivesCrash(t *testing.T) {
	var group ffprocess.Group
	defer group.Close()
	record := filepath.Join(t.TempDir(), "executions.jsonl")
	p, l := start(t, &group, ffprocess.Spec{
		Name: "target",
		Path: standPath(t),
		Args: []string{"target", "--record", record},
		Env:  []string{"STAND_NAME=palermo-1"},
	})
	_, _ = get(t.Context(), "http://"+l.Listen, "Stand-Crash", "process")
	<-p.Exited()
	content, err := os.ReadFile(record)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	var last ffstand.Execution
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &last); err != nil {
		t.Fatal(err)
	}
	if len(lines) != 2 || !last.Crashed || last.Target != "palermo-1" {
		t.Fatalf("record %s", content)
	}
}

func TestCloseKillsEveryProcess(t *testing.T) {
	var group ffprocess.Group
	defer group.Close()
	path := standPath(t)
	addresses, err := ffprocess.FreeAddresses(2)
	if err != nil {
		t.Fatal(err)
	}
	spec := ffprocess.Spec{
		Name:     "platform",
		Path:     path,
		Args:     []string{"platform", "--listen", addresses[0], "--control", addresses[1]},
		ReadyURL: "http://" + addresses[1] + "/control/ready",
	}
	running, err := group.Start(t.Context(), spec)
	if err != nil {
		t.Fatal(err)
	}
	frozen, _ := start(t, &group, ffprocess.Spec{Name: "target", Path: path, Args: []string{"target"}})
	if err := frozen.Freeze(); err != nil {
		t.Fatal(err)
	}
	group.Close()
	for _, p := range []*ffprocess.Process{running, frozen} {
		if err := syscall.Kill(p.ID(), 0); !errors.Is(err, syscall.ESRCH) {
			t.Fatalf("process %d: %v", p.ID(), err)
		}
	}
	if _, err := group.Start(t.Context(), spec); err == nil {
		t.Fatal("a closed group started a process")
	}
}

func TestStartFailsIfProcessExits(t *testing.T) {
	var group ffprocess.Group
	defer group.Close()
	_, err := group.Start(t.Context(), ffprocess.Spec{
		Name:     "target",
		Path:     standPath(t),
		Args:     []string{"target", "--slots", "0"},
		ReadyURL: "http://127.0.0.1:1/",
	})
	var failure *ffprocess.Error
	if !errors.As(err, &failure) || failure.Kind != ffprocess.KindExited || !strings.Contains(err.Error(), "at least 1 is allowed") {
		t.Fatal(err)
	}
}

// TestProcessesDieWithParent kills a program that started a stand-in platform and checks
// that a long poll of the platform fails.
func TestProcessesDieWithParent(t *testing.T) {
	var group ffprocess.Group
	defer group.Close()
	holder, l := start(t, &group, ffprocess.Spec{
		Name: "holder",
		Path: os.Args[0],
		Env:  []string{holderEnvVar + "=" + standPath(t)},
	})
	if err := holder.Kill(); err != nil {
		t.Fatal(err)
	}
	status, err := get(t.Context(), "http://"+l.Listen+"/v1/values/manifest?after=0&waitMillis=60000")
	if err == nil {
		t.Fatalf("the platform survived its parent and responded with status %d", status)
	}
}
