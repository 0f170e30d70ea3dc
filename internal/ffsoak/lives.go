package ffsoak

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/internal/ffprocess"
)

// lives keeps every process that was a daemon, with its lines. The zero value is empty.
type lives struct {
	mu  sync.Mutex
	all []*life
	// reserved holds a lock for each VM, taken while a fault bears on its daemon.
	reserved map[string]*sync.Mutex
}

// reserve waits until no fault bears on the daemons of some VMs and returns how
// to let the next one.
func (l *lives) reserve(vms []string) func() {
	locks := make([]*sync.Mutex, 0, len(vms))
	for _, vm := range slices.Sorted(slices.Values(vms)) {
		locks = append(locks, l.lockOf(vm))
	}
	for _, lock := range locks {
		lock.Lock()
	}
	return func() {
		for _, lock := range locks {
			lock.Unlock()
		}
	}
}

func (l *lives) lockOf(vm string) *sync.Mutex {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reserved == nil {
		l.reserved = make(map[string]*sync.Mutex)
	}
	if l.reserved[vm] == nil {
		l.reserved[vm] = new(sync.Mutex)
	}
	return l.reserved[vm]
}

// life is one process of a daemon.
type life struct {
	process *ffprocess.Process
	record  Process
}

// add notes the process that runs as the daemon of n.
func (l *lives) add(n *ffdeployment.Node, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, &life{process: n.Daemon, record: Process{VM: n.VM.Name, Started: started}})
}

// ended notes when the latest process of a VM ended.
func (l *lives) ended(vm string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.all) - 1; i >= 0; i-- {
		if l.all[i].record.VM == vm {
			l.all[i].record.Ended = at
			return
		}
	}
}

func (l *lives) kill(n *ffdeployment.Node) error {
	err := n.Daemon.Kill()
	l.ended(n.VM.Name, time.Now())
	return err
}

func (l *lives) start(ctx context.Context, n *ffdeployment.Node) error {
	started := time.Now()
	if err := n.StartDaemon(ctx); err != nil {
		return err
	}
	l.add(n, started)
	return nil
}

// lost returns an error that shows the last lines of every process that ended
// though nobody ended it.
func (l *lives) lost() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all error
	for _, one := range l.all {
		select {
		case <-one.process.Exited():
		default:
			continue
		}
		if !one.record.Ended.IsZero() {
			continue
		}
		lines := one.process.Lines()
		all = errors.Join(all, &Error{Op: "run", Kind: ErrorLost, Err: merry.Errorf("the daemon of %s ended by itself: %q", one.record.VM, lines[max(0, len(lines)-shownLines):])})
	}
	return all
}

// shownLines bounds the last lines of a process that an error shows.
const shownLines = 40

// auditLine is a log line of a daemon that tells a change.
type auditLine struct {
	Audit   string `json:"audit"`
	Version string `json:"version"`
}

// records returns every life with the versions that its lines tell. It is an
// error when the first lines of a process are no longer kept.
func (l *lives) records() ([]Process, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := make([]Process, len(l.all))
	for i, one := range l.all {
		lines := one.process.Lines()
		if !slices.ContainsFunc(lines, tellsStart) {
			return nil, &Error{Op: "read trail", Kind: ErrorEvidence, Err: merry.Errorf("the first lines of the daemon of %s are lost", one.record.VM)}
		}
		records[i] = one.record
		for _, line := range lines {
			records[i].read(line)
		}
	}
	return records, nil
}

func tellsStart(line ffprocess.Line) bool {
	var a auditLine
	return line.Decode(&a) == nil && a.Audit == ffaudit.KindDaemonStarted.String()
}

// read takes up what a line of the process tells of versions.
func (p *Process) read(line ffprocess.Line) {
	var a auditLine
	if line.Decode(&a) != nil {
		return
	}
	switch a.Audit {
	case ffaudit.KindVersionApplied.String():
		p.Applied = append(p.Applied, a.Version)
	case ffaudit.KindVersionRefused.String():
		p.Refused = append(p.Refused, a.Version)
	}
}
