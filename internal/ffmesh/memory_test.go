package ffmesh_test

import (
	"net/http"
	"testing"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// TestMemory holds bodies up to the bound and takes more once one is released.
func TestMemory(t *testing.T) {
	m := ffmesh.NewMemory(2 * ffmesh.HeldBody)
	body := func(length int64) *http.Request { return &http.Request{ContentLength: length} }
	first, ok := m.Hold(body(ffmesh.HeldBody))
	if !ok {
		t.Fatal("no room for the first body")
	}
	if _, ok := m.Hold(body(-1)); !ok {
		t.Fatal("no room for the second body")
	}
	if _, ok := m.Hold(body(1)); ok {
		t.Error("room beyond the bound")
	}
	if _, ok := m.Hold(body(0)); !ok {
		t.Error("a request without a body needs no room")
	}
	first()
	if _, ok := m.Hold(body(1)); !ok {
		t.Error("no room after a release")
	}
}
