package ffproof_test

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// load calls in a loop until it is ended.
type load struct {
	stage  *stage
	args   []string
	end    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	sent   int
	err    error
}

// run sends one call after another; their outcomes are judged at the end.
func (l *load) run() {
	defer close(l.done)
	for l.end.Err() == nil {
		l.sent++
		c, err := l.stage.newCall(append([]string{fmt.Sprintf("%s-%d", l.args[0], l.sent)}, l.args[1:]...))
		if err != nil {
			l.err = err
			return
		}
		l.stage.add(c)
		c.run(l.stage.end)
	}
}

func (s *stage) load(args []string) error {
	l := &load{stage: s, args: args, done: make(chan struct{})}
	l.end, l.cancel = context.WithCancel(s.end)
	s.loads[args[0]] = l
	s.loops.Go(l.run)
	return nil
}

// unload ends a load and wants each of its calls to have come to one of the
// outcomes; without any, all are allowed.
func (s *stage) unload(args []string) error {
	l := s.loads[args[0]]
	l.cancel()
	<-l.done
	if l.err != nil || l.sent < 2 {
		return merry.Errorf("%d calls, error %v", l.sent, l.err)
	}
	for n := 1; n <= l.sent && len(args) > 1; n++ {
		if err := s.finish(append([]string{fmt.Sprintf("%s-%d", args[0], n)}, args[1:]...)); err != nil {
			return merry.Prependf(err, "call %d of %d", n, l.sent)
		}
	}
	return nil
}

// mark remembers the time under a name.
func (s *stage) mark(args []string) error {
	s.marks[args[0]] = time.Now()
	return nil
}

// none wants no execution of a call that was sent after the mark: at a VM, or of
// a route at any.
func (s *stage) none(args []string) error {
	since := s.marks[args[1]]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.deployment.Nodes {
		all, err := s.executions(n.VM.Name)
		if err != nil {
			return err
		}
		for _, e := range all {
			for _, c := range s.calls {
				if c.path == e.Path && c.sent.After(since) && (n.VM.Name == args[0] || c.route == args[0]) {
					return merry.Errorf("%s ran at %s, though sent after %s", c.name, n.VM.Name, args[1])
				}
			}
		}
	}
	return nil
}
