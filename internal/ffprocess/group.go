package ffprocess

import (
	"context"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// readyTimeout limits the wait for readiness if the context has no deadline.
	readyTimeout = 10 * time.Second
	// outputTimeout limits the wait for the remaining output of a process that has exited.
	outputTimeout = time.Second
)

// Spec describes a process to start.
type Spec struct {
	// Name identifies the process in errors.
	Name string
	// Path is the path of the binary.
	Path string
	Args []string
	// Env lists variables (NAME=value) added to the environment of this program.
	Env []string
	// ReadyURL returns status 200 once the process is ready. If it is empty, Start
	// does not wait for readiness.
	ReadyURL string
}

// Group starts processes and kills all of them on Close. The zero value is ready to use.
type Group struct {
	startLoop  sync.Once
	goroutines sync.WaitGroup
	requests   chan startRequest

	mu        sync.Mutex
	closed    bool
	processes []*Process
}

// startRequest asks the loop of a group to start a process.
type startRequest struct {
	cmd  *exec.Cmd
	done chan error
}

// Start starts a process and waits until it is ready. If ctx ends or the process exits
// before, it kills the process and returns an error. Without a deadline in ctx the wait
// is limited to 10 s.
func (g *Group) Start(ctx context.Context, spec Spec) (*Process, error) {
	p, err := g.launch(spec)
	if err != nil {
		return nil, err
	}
	if spec.ReadyURL == "" {
		return p, nil
	}
	if err := p.awaitReady(ctx, spec.ReadyURL); err != nil {
		_ = p.Kill()
		return nil, err
	}
	return p, nil
}

// Close kills every process that the group started and waits until all have exited.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	for _, p := range g.processes {
		_ = p.Kill()
	}
	if g.requests != nil {
		close(g.requests)
	}
	g.goroutines.Wait()
}

func (g *Group) launch(spec Spec) (*Process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, &Error{Op: "start", Kind: KindStart, Process: spec.Name, Err: merry.New("the group is closed")}
	}
	g.startLoop.Do(func() {
		g.requests = make(chan startRequest)
		g.goroutines.Go(g.loop)
	})
	p := newProcess(spec)
	s := startRequest{cmd: p.cmd, done: make(chan error)}
	g.requests <- s
	if err := <-s.done; err != nil {
		return nil, &Error{Op: "start", Kind: KindStart, Process: spec.Name, Err: err}
	}
	g.processes = append(g.processes, p)
	g.goroutines.Go(p.awaitExit)
	return p, nil
}

// loop starts all processes from one locked thread: with Pdeathsig the kernel kills a
// process when the thread that started it exits.
func (g *Group) loop() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for s := range g.requests {
		s.done <- s.cmd.Start()
	}
}

func newProcess(spec Spec) *Process {
	p := &Process{name: spec.Name, lines: newLines(), exited: make(chan struct{})}
	p.cmd = exec.Command(spec.Path, spec.Args...)
	p.cmd.Env = append(os.Environ(), spec.Env...)
	p.cmd.Stdout = &lineWriter{lines: p.lines}
	p.cmd.Stderr = &lineWriter{lines: p.lines}
	p.cmd.WaitDelay = outputTimeout
	// The kernel kills the process when this program is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p
}
