package ffprocess

import (
	"context"
	"net/http"
	"os/exec"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// pollInterval is the interval of the readiness checks of a process.
	pollInterval = 10 * time.Millisecond
	// pollTimeout limits one readiness check.
	pollTimeout = time.Second
	// errorLines is the maximum number of output lines in an error.
	errorLines = 5
)

// Process is a process that a Group started.
type Process struct {
	name  string
	cmd   *exec.Cmd
	lines *lines
	// exited is closed when the process has exited; err is set before.
	exited chan struct{}
	err    error
}

// ID returns the process identifier.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Wait waits for the process to exit. It returns nil for exit status 0 and an error
// otherwise.
func (p *Process) Wait() error {
	<-p.exited
	if p.err != nil {
		return p.newError("end", KindExited, p.err)
	}
	return nil
}

// Freeze suspends the process with SIGSTOP and returns when all its threads are stopped.
func (p *Process) Freeze() error {
	if err := p.signal("freeze", syscall.SIGSTOP); err != nil {
		return err
	}
	return p.awaitStopped()
}

// Resume resumes a frozen process.
func (p *Process) Resume() error { return p.signal("resume", syscall.SIGCONT) }

// Hangup sends the process SIGHUP.
func (p *Process) Hangup() error { return p.signal("hang up", syscall.SIGHUP) }

// DumpStacks sends SIGQUIT, on which the process writes the stacks of its goroutines and
// exits, and waits for the exit until ctx ends.
func (p *Process) DumpStacks(ctx context.Context) error {
	if err := p.signal("dump", syscall.SIGQUIT); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return nil
	case <-ctx.Done():
		return p.newError("dump", KindDeadline, ctx.Err())
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() error {
	err := p.signal("kill", syscall.SIGKILL)
	<-p.exited
	return err
}

// Stop sends SIGTERM and waits for the process to exit until ctx ends. It returns an
// error if the process does not exit in time with status 0.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.signal("stop", syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
	case <-ctx.Done():
		return p.newError("stop", KindDeadline, ctx.Err())
	}
	if p.err != nil {
		return p.newError("stop", KindExited, p.err)
	}
	return nil
}

// Lines returns the most recent output lines of the process, at most 20,000.
func (p *Process) Lines() []Line {
	all, _, _ := p.lines.since(0)
	return all
}

// AwaitLine returns the first kept line that match accepts. It waits for it until ctx
// ends or the process exits.
func (p *Process) AwaitLine(ctx context.Context, match func(Line) bool) (Line, error) {
	seen := 0
	for {
		var ended bool
		select {
		case <-p.exited:
			ended = true
		default:
		}
		fresh, written, changed := p.lines.since(seen)
		for _, line := range fresh {
			if match(line) {
				return line, nil
			}
		}
		seen = written
		if ended {
			return "", p.newError("await line", KindExited, p.err)
		}
		select {
		case <-changed:
		case <-p.exited:
		case <-ctx.Done():
			return "", p.newError("await line", KindDeadline, ctx.Err())
		}
	}
}

// awaitExit waits for the process to exit and closes exited.
func (p *Process) awaitExit() {
	p.err = p.cmd.Wait()
	close(p.exited)
}

func (p *Process) signal(op string, s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return p.newError(op, KindSignal, err)
	}
	return nil
}

func (p *Process) newError(op string, kind Kind, err error) error {
	return &Error{Op: op, Kind: kind, Process: p.name, Err: err}
}

// awaitReady polls url until it returns status 200.
func (p *Process) awaitReady(ctx context.Context, url string) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, readyTimeout)
		defer cancel()
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !ready(ctx, url) {
		select {
		case <-ticker.C:
		case <-p.exited:
			return p.newError("start", KindExited, merry.Errorf("%w, last lines %q", p.err, p.lastLines()))
		case <-ctx.Done():
			return p.newError("start", KindNotReady, merry.Errorf("%w, last lines %q", ctx.Err(), p.lastLines()))
		}
	}
	return nil
}

func (p *Process) lastLines() []Line {
	all := p.Lines()
	return all[max(0, len(all)-errorLines):]
}

// ready reports whether a GET request to url returns status 200.
func ready(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
