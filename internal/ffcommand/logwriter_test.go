package ffcommand

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is a writer that blocks until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func (s *stuck) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

// TestLogWriter never blocks on a stuck output, and tells afterwards what it dropped.
func TestLogWriter(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	l := newLogWriter(out)
	began := time.Now()
	for range 20 * logLines {
		if _, err := l.Write([]byte("{}\n")); err != nil {
			t.Fatal(err)
		}
	}
	l.close()
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("writers waited %v", took)
	}
	close(out.release)
	deadline := time.Now().Add(5 * time.Second)
	for !strings.Contains(out.String(), "log lines dropped") {
		if time.Now().After(deadline) {
			t.Fatal("no line tells of the dropped ones")
		}
		<-time.After(10 * time.Millisecond)
	}
}
