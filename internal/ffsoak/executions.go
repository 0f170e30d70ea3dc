package ffsoak

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffstand"
)

// maxLineBytes is the maximum length of a line in an execution record.
const maxLineBytes = 1 << 20

// readExecutions returns the executions in the record files of all targets,
// including restarted ones, ordered by start.
func readExecutions(directory string) ([]ffstand.Execution, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.jsonl"))
	if err != nil {
		return nil, &Error{Op: "read executions", Kind: ErrorFile, Err: err}
	}
	var all []ffstand.Execution
	for _, path := range paths {
		executions, err := readFile(path)
		if err != nil {
			return nil, &Error{Op: "read executions", Kind: ErrorEvidence, Err: err}
		}
		all = append(all, executions...)
	}
	slices.SortStableFunc(all, func(a, b ffstand.Execution) int { return a.Started.Compare(b.Started) })
	return all, nil
}

// readFile reads the record of a target. A target writes each execution when it
// starts and again when it ends; numbering restarts with the target.
func readFile(path string) ([]ffstand.Execution, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var executions []ffstand.Execution
	open := make(map[uint64]int)
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e ffstand.Execution
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, err
		}
		if e.Ended.IsZero() {
			open[e.Number] = len(executions)
			executions = append(executions, e)
			continue
		}
		i, ok := open[e.Number]
		if !ok {
			return nil, merry.Errorf("%s: execution %d ended but never started", path, e.Number)
		}
		executions[i] = e
	}
	return executions, lines.Err()
}
