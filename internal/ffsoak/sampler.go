package ffsoak

import (
	"context"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
)

const (
	// sampleInterval is the time between two looks at the status of a daemon.
	sampleInterval = 100 * time.Millisecond
	// sampleTimeout bounds one look.
	sampleTimeout = time.Second
)

// sampler looks at the status of every daemon again and again.
type sampler struct {
	mu      sync.Mutex
	samples []Sample
}

// watch is the part of a sampler that looks at one daemon.
type watch struct {
	sampler *sampler
	node    *ffdeployment.Node
}

// run looks at the status of a daemon until ctx ends.
func (w *watch) run(ctx context.Context) {
	for sleepUntil(ctx, time.Now().Add(sampleInterval)) {
		w.look(ctx)
	}
}

func (w *watch) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	asked := time.Now()
	status, err := w.node.Status(ctx)
	if err != nil {
		return
	}
	w.sampler.mu.Lock()
	defer w.sampler.mu.Unlock()
	w.sampler.samples = append(w.sampler.samples, Sample{
		VM: w.node.VM.Name, Incarnation: status.Incarnation, Asked: asked, At: time.Now(), Version: status.Version, Ready: status.Ready,
	})
}
