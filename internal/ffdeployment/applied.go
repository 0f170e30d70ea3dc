package ffdeployment

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/internal/ffprocess"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// maxErrorLines is the maximum number of log lines included in an error.
const maxErrorLines = 12

// auditLine holds the fields of a daemon's log line for an audit event.
type auditLine struct {
	Audit   string    `json:"audit"`
	Version string    `json:"version"`
	Time    time.Time `json:"time"`
}

// AwaitApplied waits until every given daemon has logged that it applied version v, and
// returns the times of the log lines, in the order of nodes. An error of KindDeadline
// contains the daemon's latest log lines.
func AwaitApplied(ctx context.Context, nodes []*Node, v ffconfig.Version) ([]time.Time, error) {
	applied := make([]time.Time, len(nodes))
	var g errgroup.Group
	for i, n := range nodes {
		g.Go(func() error {
			at, err := n.awaitApplied(ctx, v)
			applied[i] = at
			return err
		})
	}
	return applied, g.Wait()
}

// awaitApplied waits until the daemon has logged that it applied v and returns the line's time.
func (n *Node) awaitApplied(ctx context.Context, v ffconfig.Version) (time.Time, error) {
	var at time.Time
	_, err := n.Daemon.AwaitLine(ctx, func(l ffprocess.Line) bool {
		var a auditLine
		if l.Decode(&a) != nil || a.Audit != ffaudit.KindVersionApplied.String() || a.Version != v.String() {
			return false
		}
		at = a.Time
		return true
	})
	if err != nil {
		return at, &Error{Op: "await version", Kind: KindDeadline, Err: merry.Errorf("%w: last lines %q", err, n.lastLines())}
	}
	return at, nil
}

// lastLines returns up to maxErrorLines of the daemon's latest log lines.
func (n *Node) lastLines() []ffprocess.Line {
	lines := n.Daemon.Lines()
	return lines[max(0, len(lines)-maxErrorLines):]
}
