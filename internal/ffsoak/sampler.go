package ffsoak

import (
	"context"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
)

const (
	// sampleInterval is the pause between two status requests to a daemon.
	sampleInterval = 100 * time.Millisecond
	// sampleTimeout bounds one status request.
	sampleTimeout = time.Second
)

// sampler collects the status of every daemon periodically.
type sampler struct {
	mu      sync.Mutex
	samples []Sample
}

// nodeSampler samples one daemon for a sampler.
type nodeSampler struct {
	sampler *sampler
	node    *ffdeployment.Node
}

// run samples the daemon until ctx ends.
func (w *nodeSampler) run(ctx context.Context) {
	for sleepUntil(ctx, time.Now().Add(sampleInterval)) {
		w.sample(ctx)
	}
}

func (w *nodeSampler) sample(ctx context.Context) {
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
