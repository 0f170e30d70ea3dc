package ffproof_test

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// load sends calls one after another until unload or the end of the script.
type load struct {
	script *script
	args   []string
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	sent   int
	err    error
}

// run sends one call after another; unload and judge check their outcomes.
func (l *load) run() {
	defer close(l.done)
	for l.ctx.Err() == nil {
		l.sent++
		c, err := l.script.newCall(append([]string{fmt.Sprintf("%s-%d", l.args[0], l.sent)}, l.args[1:]...))
		if err != nil {
			l.err = err
			return
		}
		l.script.add(c)
		c.run(l.script.ctx)
	}
}

func (s *script) load(args []string) error {
	l := &load{script: s, args: args, done: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	s.loads[args[0]] = l
	s.callers.Go(l.run)
	return nil
}

// unload stops a load and checks that it sent at least two calls, each with one of
// the given outcomes. Without outcomes, all are allowed.
func (s *script) unload(args []string) error {
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

// mark stores the current time under a name.
func (s *script) mark(args []string) error {
	s.marks[args[0]] = time.Now()
	return nil
}

// none checks that no call sent after the mark was executed at the VM, or on the
// route at any VM.
func (s *script) none(args []string) error {
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
					return merry.Errorf("%s ran at %s, but was sent after %s", c.name, n.VM.Name, args[1])
				}
			}
		}
	}
	return nil
}
