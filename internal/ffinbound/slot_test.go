package ffinbound_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffinbound"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// longAnswer is the length of an answer that a gate returns as a stream, in bytes.
const longAnswer = 600 << 10

// newLongGate returns a gate with one slot, for a target with long answers.
func newLongGate(t *testing.T) *ffinbound.Gate {
	t.Helper()
	g, _, _ := newGate(t, 1, 0)
	g.Pool.Address = serveTarget(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("a"), longAnswer))
	})).String()
	return g
}

// TestAbandonedAnswerKeepsSlot guards against a long answer that nobody reads or closes, as
// its client has left: its slot would be lost for good.
func TestAbandonedAnswerKeepsSlot(t *testing.T) {
	g := newLongGate(t)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	r := g.Do(ctx, newCall("a", 1, time.Second, 2*time.Second))
	if r.Stream == nil || g.Running() != 1 {
		t.Fatalf("stream %v, %d slots in use", r.Stream != nil, g.Running())
	}
	leave()
	awaitFreeSlots(t, g)
}

// TestReadAnswerKeepsSlot guards against a long answer that was read to its end and still
// takes a slot until it is closed.
func TestReadAnswerKeepsSlot(t *testing.T) {
	g := newLongGate(t)
	r := g.Do(context.Background(), newCall("a", 1, time.Second, 2*time.Second))
	n, err := io.Copy(io.Discard, r.Stream)
	if total := int(n) + len(r.Body); err != nil || total != longAnswer {
		t.Fatalf("%d bytes, %v", total, err)
	}
	awaitFreeSlots(t, g)
	if err := r.Stream.Close(); err != nil || g.Running() != 0 {
		t.Errorf("%d slots in use after Close, %v", g.Running(), err)
	}
	if r := g.Do(context.Background(), newCall("b", 1, time.Second, 2*time.Second)); r.Outcome != ffmesh.OutcomeRan {
		t.Errorf("the next call: %v %v", r.Outcome, r.Reason)
	}
}

// awaitFreeSlots fails the test if a slot of g is still in use after a second.
func awaitFreeSlots(t *testing.T, g *ffinbound.Gate) {
	t.Helper()
	for deadline := time.Now().Add(time.Second); g.Running() > 0; <-time.After(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d slots still in use", g.Running())
		}
	}
}
