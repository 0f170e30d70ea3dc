package ffmesh_test

import (
	"testing"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// TestMemory holds bodies up to the bound and takes more once one is released.
func TestMemory(t *testing.T) {
	m := ffmesh.NewMemory(2 * ffmesh.HeldBody)
	first, ok := m.Hold(ffmesh.HeldBody)
	if !ok {
		t.Fatal("no room for the first body")
	}
	if _, ok := m.Hold(-1); !ok {
		t.Fatal("no room for the second body")
	}
	if _, ok := m.Hold(1); ok {
		t.Error("room beyond the bound")
	}
	if _, ok := m.Hold(0); !ok {
		t.Error("a request without a body needs no room")
	}
	first()
	if _, ok := m.Hold(1); !ok {
		t.Error("no room after a release")
	}
}
