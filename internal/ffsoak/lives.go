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

// processLog keeps every daemon process of the soak, with its log lines. The
// zero value is empty.
type processLog struct {
	mu  sync.Mutex
	all []*daemonProcess
	// reserved holds a lock for each VM, held while a fault affects its daemon.
	reserved map[string]*sync.Mutex
}

// reserve locks the daemons of the VMs against other process faults and returns
// the function that unlocks them. Locks are taken in the order of names, so that
// two faults can't deadlock.
func (l *processLog) reserve(vms []string) func() {
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

func (l *processLog) lockOf(vm string) *sync.Mutex {
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

// daemonProcess is one process of a daemon.
type daemonProcess struct {
	process *ffprocess.Process
	record  Process
}

// add records the process that runs as the daemon of n.
func (l *processLog) add(n *ffdeployment.Node, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, &daemonProcess{process: n.Daemon, record: Process{VM: n.VM.Name, Started: started}})
}

// ended records when the latest process of a VM ended.
func (l *processLog) ended(vm string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.all) - 1; i >= 0; i-- {
		if l.all[i].record.VM == vm {
			l.all[i].record.Ended = at
			return
		}
	}
}

func (l *processLog) kill(n *ffdeployment.Node) error {
	err := n.Daemon.Kill()
	l.ended(n.VM.Name, time.Now())
	return err
}

func (l *processLog) start(ctx context.Context, n *ffdeployment.Node) error {
	started := time.Now()
	if err := n.StartDaemon(ctx); err != nil {
		return err
	}
	l.add(n, started)
	return nil
}

// unexpectedExits returns an error with the last log lines of every process that
// exited without being stopped or killed by a fault.
func (l *processLog) unexpectedExits() error {
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
		all = errors.Join(all, &Error{Op: "run", Kind: ErrorLost, Err: merry.Errorf("the daemon of %s exited unexpectedly: %q", one.record.VM, lines[max(0, len(lines)-shownLines):])})
	}
	return all
}

// shownLines is the maximum number of log lines of a process in an error.
const shownLines = 40

// auditLine is an audit entry in a daemon's log.
type auditLine struct {
	Audit   string `json:"audit"`
	Version string `json:"version"`
}

// records returns every process with the versions from its audit lines. It
// returns an error if the first lines of a process are no longer kept.
func (l *processLog) records() ([]Process, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := make([]Process, len(l.all))
	for i, one := range l.all {
		lines := one.process.Lines()
		if !slices.ContainsFunc(lines, isStartLine) {
			return nil, &Error{Op: "read trail", Kind: ErrorEvidence, Err: merry.Errorf("the first log lines of the daemon of %s are no longer kept", one.record.VM)}
		}
		records[i] = one.record
		for _, line := range lines {
			records[i].addLine(line)
		}
	}
	return records, nil
}

func isStartLine(line ffprocess.Line) bool {
	var a auditLine
	return line.Decode(&a) == nil && a.Audit == ffaudit.KindDaemonStarted.String()
}

// addLine adds the version that an audit line reports as applied or refused.
func (p *Process) addLine(line ffprocess.Line) {
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
