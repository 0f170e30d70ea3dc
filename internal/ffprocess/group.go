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
	// readyTimeout bounds the wait for readiness of a context without deadline.
	readyTimeout = 10 * time.Second
	// outputTimeout bounds the wait for the rest of the output of a process that has ended.
	outputTimeout = time.Second
)

// Spec describes a process to start.
type Spec struct {
	// Name names the process in errors.
	Name string
	// Path is the binary.
	Path string
	Args []string
	// Env is added to the environment, as NAME=value.
	Env []string
	// ReadyURL answers with status 200 once the process is ready; empty when
	// nothing is to be waited for.
	ReadyURL string
}

// Group starts processes and ends them all. The zero value is ready to use.
type Group struct {
	start  sync.Once
	loops  sync.WaitGroup
	starts chan starting

	mu        sync.Mutex
	closed    bool
	processes []*Process
}

// starting asks the loop of a group to start a process.
type starting struct {
	cmd  *exec.Cmd
	done chan error
}

// Start starts a process and waits until it is ready, or until ctx is done.
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

// Close kills every process that the group started and waits for their end.
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
	if g.starts != nil {
		close(g.starts)
	}
	g.loops.Wait()
}

func (g *Group) launch(spec Spec) (*Process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, &Error{Op: "start", Kind: KindStart, Process: spec.Name, Err: merry.New("the group is closed")}
	}
	g.start.Do(func() {
		g.starts = make(chan starting)
		g.loops.Go(g.loop)
	})
	p := newProcess(spec)
	s := starting{cmd: p.cmd, done: make(chan error)}
	g.starts <- s
	if err := <-s.done; err != nil {
		return nil, &Error{Op: "start", Kind: KindStart, Process: spec.Name, Err: err}
	}
	g.processes = append(g.processes, p)
	g.loops.Go(p.run)
	return p, nil
}

// loop starts processes from one thread, whose end would kill them.
func (g *Group) loop() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for s := range g.starts {
		s.done <- s.cmd.Start()
	}
}

func newProcess(spec Spec) *Process {
	p := &Process{name: spec.Name, lines: newLines(), exited: make(chan struct{})}
	p.cmd = exec.Command(spec.Path, spec.Args...)
	p.cmd.Env = append(os.Environ(), spec.Env...)
	p.cmd.Stdout = &stream{lines: p.lines}
	p.cmd.Stderr = &stream{lines: p.lines}
	p.cmd.WaitDelay = outputTimeout
	// A test program that is killed takes its processes with it.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p
}
