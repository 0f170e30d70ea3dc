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
	// pollInterval is the time between two looks at the readiness of a process.
	pollInterval = 10 * time.Millisecond
	// pollTimeout bounds one look.
	pollTimeout = time.Second
	// shownLines bounds the lines that an error shows.
	shownLines = 5
)

// Process is a process that a Group started.
type Process struct {
	name  string
	cmd   *exec.Cmd
	lines *lines
	// exited is closed when the process has ended; err is set before.
	exited chan struct{}
	err    error
}

// ID returns the process identifier.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Status returns nil when the process has ended with status 0, and how it ended
// otherwise. It waits for the end.
func (p *Process) Status() error {
	<-p.exited
	if p.err != nil {
		return p.fail("end", KindExited, p.err)
	}
	return nil
}

// Freeze stops the process until Wake, and returns when it stands still.
func (p *Process) Freeze() error {
	if err := p.signal("freeze", syscall.SIGSTOP); err != nil {
		return err
	}
	return p.awaitStopped()
}

// Wake lets a frozen process go on.
func (p *Process) Wake() error { return p.signal("wake", syscall.SIGCONT) }

// Hangup sends the process SIGHUP.
func (p *Process) Hangup() error { return p.signal("hang up", syscall.SIGHUP) }

// Dump asks the process for the stacks of its goroutines, which end it, and waits for
// that until ctx is done.
func (p *Process) Dump(ctx context.Context) error {
	if err := p.signal("dump", syscall.SIGQUIT); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return nil
	case <-ctx.Done():
		return p.fail("dump", KindDeadline, ctx.Err())
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	err := p.signal("kill", syscall.SIGKILL)
	<-p.exited
	return err
}

// Stop asks the process to end and waits for that until ctx is done. It returns
// an error when the process does not end with status 0.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.signal("stop", syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
	case <-ctx.Done():
		return p.fail("stop", KindDeadline, ctx.Err())
	}
	if p.err != nil {
		return p.fail("stop", KindExited, p.err)
	}
	return nil
}

// Lines returns the latest lines of the process.
func (p *Process) Lines() []Line {
	all, _, _ := p.lines.since(0)
	return all
}

// AwaitLine returns the first line that match accepts, and waits for it until
// ctx is done or the process ends.
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
			return "", p.fail("await line", KindExited, p.err)
		}
		select {
		case <-changed:
		case <-p.exited:
		case <-ctx.Done():
			return "", p.fail("await line", KindDeadline, ctx.Err())
		}
	}
}

// run waits for the end of the process.
func (p *Process) run() {
	p.err = p.cmd.Wait()
	close(p.exited)
}

func (p *Process) signal(op string, s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return p.fail(op, KindSignal, err)
	}
	return nil
}

func (p *Process) fail(op string, kind Kind, err error) error {
	return &Error{Op: op, Kind: kind, Process: p.name, Err: err}
}

// awaitReady polls url until it answers with status 200.
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
			return p.fail("start", KindExited, merry.Errorf("%w, last lines %q", p.err, p.lastLines()))
		case <-ctx.Done():
			return p.fail("start", KindNotReady, merry.Errorf("%w, last lines %q", ctx.Err(), p.lastLines()))
		}
	}
	return nil
}

func (p *Process) lastLines() []Line {
	all := p.Lines()
	return all[max(0, len(all)-shownLines):]
}

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
