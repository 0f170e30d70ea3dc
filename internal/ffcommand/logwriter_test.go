package ffcommand

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Write(p)
}

func (w *blockedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.String()
}

// TestLogWriter checks that writes and close do not block while the output is blocked, and
// that dropped lines are reported once it accepts data again.
func TestLogWriter(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	l := newLogWriter(out)
	start := time.Now()
	for range 20 * logBufferLines {
		if _, err := l.Write([]byte("{}\n")); err != nil {
			t.Fatal(err)
		}
	}
	l.close()
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Errorf("writing and closing took %v", elapsed)
	}
	close(out.release)
	deadline := time.Now().Add(5 * time.Second)
	for !strings.Contains(out.String(), "log lines dropped") {
		if time.Now().After(deadline) {
			t.Fatal("dropped lines were not reported")
		}
		<-time.After(10 * time.Millisecond)
	}
}
