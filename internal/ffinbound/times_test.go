package ffinbound

import (
	"testing"
	"time"
)

// TestFaded keeps a measured service time while calls come, and forgets it slowly
// when none do, so that entries try the target again.
func TestFaded(t *testing.T) {
	var s times
	now := time.Now()
	s.observe(now, 1, 400*time.Millisecond)
	if got := s.faded(now.Add(500 * time.Millisecond)); got != 400*time.Millisecond {
		t.Errorf("fresh: %v", got)
	}
	if got := s.faded(now.Add(8 * time.Second)); got <= 0 || got > 40*time.Millisecond {
		t.Errorf("after 8 s: %v", got)
	}
	if s.expected(1) != 400*time.Millisecond {
		t.Error("the gate's own estimate faded")
	}
}

// TestUnmeasured tells nothing of a target that has served nothing.
func TestUnmeasured(t *testing.T) {
	var s times
	if got := s.faded(time.Now()); got != 0 {
		t.Errorf("%v is told of a target that was not measured", got)
	}
}
