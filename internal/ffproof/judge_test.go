package ffproof_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
	"fireflyfall.dev/fireflyfall/pkg/ffclient"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// maxLineBytes is the maximum length of a line in a record.
const maxLineBytes = 1 << 20

// executions returns the executions that the target of a VM has recorded, before
// and after any restarts.
func (s *script) executions(vm string) ([]ffstand.Execution, error) {
	f, err := os.Open(s.recordPath(vm))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var all []ffstand.Execution
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e ffstand.Execution
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			continue // the process was killed while writing the line, or is still writing it
		}
		all = addOrReplace(all, e)
	}
	return all, lines.Err()
}

// addOrReplace adds the start of an execution, or replaces it by its end.
func addOrReplace(all []ffstand.Execution, e ffstand.Execution) []ffstand.Execution {
	i := slices.IndexFunc(all, func(o ffstand.Execution) bool { return o.Number == e.Number && o.Started.Equal(e.Started) })
	if i < 0 {
		return append(all, e)
	}
	all[i] = e
	return all
}

// executionsByPath returns the executions at all targets by path.
func (s *script) executionsByPath() (map[string][]ffstand.Execution, error) {
	byPath := make(map[string][]ffstand.Execution)
	for _, n := range s.deployment.Nodes {
		all, err := s.executions(n.VM.Name)
		if err != nil {
			return nil, err
		}
		for _, e := range all {
			byPath[e.Path] = append(byPath[e.Path], e)
		}
	}
	return byPath, nil
}

// awaitExecution waits until an execution of the call matches.
func (s *script) awaitExecution(name string, match func(ffstand.Execution) bool) error {
	c, err := s.call(name)
	if err != nil {
		return err
	}
	return s.eventually("the execution", func(context.Context) (bool, error) {
		byPath, err := s.executionsByPath()
		return slices.ContainsFunc(byPath[c.path], match), err
	})
}

// firstRanAt returns the VM whose target ran the call first.
func (s *script) firstRanAt(name string) (*ffdeployment.Node, error) {
	c, err := s.call(name)
	if err != nil {
		return nil, err
	}
	byPath, err := s.executionsByPath()
	if err != nil {
		return nil, err
	}
	if len(byPath[c.path]) == 0 {
		return nil, merry.Errorf("%s has not run", name)
	}
	first := slices.MinFunc(byPath[c.path], func(a, b ffstand.Execution) int { return a.Started.Compare(b.Started) })
	return s.node(first.Target)
}

func (s *script) running(args []string) error {
	return s.awaitExecution(args[0], func(e ffstand.Execution) bool { return e.Ended.IsZero() })
}

func (s *script) recorded(args []string) error {
	return s.awaitExecution(args[0], func(e ffstand.Execution) bool { return !e.Ended.IsZero() })
}

func (s *script) runs(args []string) error {
	c, err := s.call(args[0])
	if err != nil {
		return err
	}
	byPath, err := s.executionsByPath()
	if err != nil {
		return err
	}
	if n := len(byPath[c.path]); !slices.Contains(args[1:], strconv.Itoa(n)) {
		return merry.Errorf("it ran %d times", n)
	}
	return nil
}

// judge checks every call of the script: each deposit, which is not idempotent, ran
// at most once; no call that was reported as not run is recorded; and each answer
// with status 200 is complete and was produced by a target for that call.
func (s *script) judge([]string) error {
	byPath, err := s.executionsByPath()
	if err != nil {
		return err
	}
	for path, all := range byPath {
		if strings.HasPrefix(path, "/deposit") && len(all) > 1 {
			return merry.Errorf("%s ran %d times: %+v", path, len(all), all)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		if err := c.judge(byPath[c.path]); err != nil {
			return merry.Prependf(err, "call %s", c.name)
		}
	}
	return nil
}

func (c *call) judge(all []ffstand.Execution) error {
	select {
	case <-c.done:
	default:
		return merry.New("it has not ended yet")
	}
	switch ffclient.Outcome(c.outcome()) {
	case ffclient.OutcomeNotRun:
		if len(all) > 0 {
			return merry.Errorf("reported as not run, but recorded: %+v", all)
		}
	case ffclient.OutcomeRan:
		return c.judgeAnswer(all)
	}
	return nil
}

func (c *call) judgeAnswer(all []ffstand.Execution) error {
	if c.answer.Status != http.StatusOK {
		return nil // an error answer of the target
	}
	var a ffstand.Answer
	if err := json.Unmarshal(c.answer.Body, &a); err != nil {
		return err
	}
	digest := ffconfig.DigestOf(c.answer.Body)
	i := slices.IndexFunc(all, func(e ffstand.Execution) bool { return e.AnswerDigest == digest && e.CallID == a.CallID })
	if i < 0 || !a.Intact() {
		return merry.Errorf("no target produced the answer %s; recorded: %+v", describe(c.answer), all)
	}
	return nil
}
