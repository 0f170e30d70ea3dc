package ffmesh_test

import (
	"testing"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// TestMemory checks that bodies are accepted up to the limit, and again after a
// release.
func TestMemory(t *testing.T) {
	m := ffmesh.NewMemory(2 * ffmesh.MaxBufferedBody)
	first, ok := m.Reserve(ffmesh.MaxBufferedBody)
	if !ok {
		t.Fatal("no memory for the first body")
	}
	if _, ok := m.Reserve(-1); !ok {
		t.Fatal("no memory for the second body")
	}
	if _, ok := m.Reserve(1); ok {
		t.Error("reserved memory beyond the limit")
	}
	if _, ok := m.Reserve(0); !ok {
		t.Error("no memory for a request without a body, which needs none")
	}
	read := m.Hold(1)
	if m.Overdrawn() {
		t.Error("bodies of requests count as unread responses")
	}
	read()
	first()
	if _, ok := m.Reserve(1); !ok {
		t.Error("no memory after a release")
	}
}
