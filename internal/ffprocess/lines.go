package ffprocess

import (
	"bytes"
	"encoding/json"
	"slices"
	"sync"
)

// lineCapacity is the maximum number of lines kept per process.
const lineCapacity = 20000

// Line is one line that a process wrote to standard output or standard error.
type Line string

// Decode decodes the line as JSON.
func (l Line) Decode(into any) error { return json.Unmarshal([]byte(l), into) }

// lines keeps the most recent lines of a process.
type lines struct {
	mu   sync.Mutex
	kept []Line
	// written counts all lines; changed is closed when the next line is added.
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

// since returns the kept lines after the first skipped lines, the number of lines
// written so far, and a channel that is closed when the next line is added.
func (l *lines) since(skipped int) ([]Line, int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := min(len(l.kept), l.written-skipped)
	return slices.Clone(l.kept[len(l.kept)-fresh:]), l.written, l.changed
}

// lineWriter splits one output stream of a process into lines.
type lineWriter struct {
	lines   *lines
	partial []byte
}

// Write adds every complete line to the lines and buffers the rest.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.partial = append(w.partial, p...)
	for {
		line, rest, ok := bytes.Cut(w.partial, []byte("\n"))
		if !ok {
			return len(p), nil
		}
		w.lines.add(Line(line))
		w.partial = rest
	}
}
