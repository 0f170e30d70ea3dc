package ffprocess

import (
	"bytes"
	"encoding/json"
	"slices"
	"sync"
)

// lineCapacity bounds the lines that are kept of one process.
const lineCapacity = 20000

// Line is one line that a process wrote on standard output or standard error.
type Line string

// Decode reads the line as JSON.
func (l Line) Decode(into any) error { return json.Unmarshal([]byte(l), into) }

// lines collects the latest lines of a process.
type lines struct {
	mu   sync.Mutex
	kept []Line
	// written counts all lines, changed is closed at the next one.
	written int
	changed chan struct{}
}

func newLines() *lines { return &lines{changed: make(chan struct{})} }

func (l *lines) add(line Line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept = append(l.kept, line)
	l.written++
	if len(l.kept) > lineCapacity {
		l.kept = slices.Delete(l.kept, 0, len(l.kept)-lineCapacity)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// since returns the kept lines after the first skipped ones, the number of all
// lines, and a channel that is closed at the next line.
func (l *lines) since(skipped int) ([]Line, int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := min(len(l.kept), l.written-skipped)
	return slices.Clone(l.kept[len(l.kept)-fresh:]), l.written, l.changed
}

// stream splits what one file of a process receives into lines.
type stream struct {
	lines   *lines
	partial []byte
}

// Write takes bytes of the stream.
func (s *stream) Write(p []byte) (int, error) {
	s.partial = append(s.partial, p...)
	for {
		line, rest, ok := bytes.Cut(s.partial, []byte("\n"))
		if !ok {
			return len(p), nil
		}
		s.lines.add(Line(line))
		s.partial = rest
	}
}
