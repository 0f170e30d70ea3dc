package ffinbound_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffbody"
	"fireflyfall.dev/fireflyfall/internal/ffinbound"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffmeshpeer"
)

// newStreamedUpload returns a call whose body is too long to be buffered.
func newStreamedUpload(id string) *ffmesh.Call {
	const length = ffmesh.MaxBufferedBody + 1
	c := newCall(id, 1, 2*time.Second, 3*time.Second)
	c.Method, c.Length = http.MethodPut, length
	c.Stream = ffbody.NewStream(strings.NewReader(strings.Repeat("b", length)))
	return c
}

// occupy fills the only slot of g with a call, and returns once that runs.
func occupy(t *testing.T, g *ffinbound.Gate) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.Do(context.Background(), newCall("busy", 1, 2*time.Second, 3*time.Second))
	}()
	t.Cleanup(func() { <-ended })
	await(t, time.Second, func() bool { return g.Running() == 1 })
}

// await fails the test if ok does not return true in time.
func await(t *testing.T, limit time.Duration, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !ok(); <-time.After(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not met in time")
		}
	}
}

// connect returns an entry's connection to g.
func connect(t *testing.T, g *ffinbound.Gate) ffmesh.Gate {
	t.Helper()
	address := serveTarget(t, &ffmeshpeer.Handler{Gate: g})
	return (&ffmeshpeer.Client{Port: address.Port()}).Gate(address.Addr())
}

// TestUploadWaitsForSlot guards against an upload that is refused, as its entry takes a gate
// for dead on which it only waits for a slot.
func TestUploadWaitsForSlot(t *testing.T) {
	const work = 400 * time.Millisecond
	g, order, _ := newGate(t, 1, work)
	entry := connect(t, g)
	occupy(t, g)
	if r := entry.Do(t.Context(), newStreamedUpload("upload")); r.Outcome != ffmesh.OutcomeRan {
		t.Errorf("%v %v", r.Outcome, r.Reason)
	}
	if want := []string{"busy", "upload"}; !slices.Equal(*order, want) {
		t.Errorf("ran %v, want %v", *order, want)
	}
}

// TestAbandonedUploadKeepsWaiting guards against an upload that waits on in the queue, with
// its turn on the link and its memory, after its entry has given it up.
func TestAbandonedUploadKeepsWaiting(t *testing.T) {
	// noticeTime is the time within which a gate must notice that an entry has left, as
	// half a second after that no more may run; the slot comes free later.
	const work, noticeTime = time.Second, 500 * time.Millisecond
	g, order, _ := newGate(t, 1, work)
	entry := connect(t, g)
	occupy(t, g)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	left := make(chan *ffmesh.Reply, 1)
	go func() { left <- entry.Do(ctx, newStreamedUpload("upload")) }()
	await(t, time.Second, func() bool { return g.Load().Queued == 1 })
	leave()
	if r := <-left; r.Outcome != ffmesh.OutcomeNotRun {
		t.Errorf("%v %v", r.Outcome, r.Reason)
	}
	await(t, noticeTime, func() bool { return g.Load().Queued == 0 })
	await(t, time.Second, func() bool { return g.Running() == 0 })
	if want := []string{"busy"}; !slices.Equal(*order, want) {
		t.Errorf("ran %v, want %v", *order, want)
	}
}

// TestSilentUploadKeepsSlot guards against a slot, or a run, of an upload of which nothing comes.
func TestSilentUploadKeepsSlot(t *testing.T) {
	const limit = 200 * time.Millisecond
	g, order, _ := newGate(t, 1, 0)
	entry := connect(t, g)
	silent, w := io.Pipe()
	defer func() { _ = w.Close() }()
	c := newStreamedUpload("upload")
	c.Stream, c.Deadline = ffbody.NewStream(silent), time.Now().Add(limit)
	ctx, cancel := context.WithDeadline(t.Context(), c.Deadline)
	defer cancel()
	if r := entry.Do(ctx, c); r.Outcome != ffmesh.OutcomeNotRun {
		t.Errorf("%v %v", r.Outcome, r.Reason)
	}
	awaitFreeSlots(t, g)
	if len(*order) > 0 {
		t.Errorf("ran %v", *order)
	}
}
