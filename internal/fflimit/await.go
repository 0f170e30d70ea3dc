package fflimit

import (
	"context"
	"time"
)

// maxResponseWait is the maximum time that a call waits for a grant.
const maxResponseWait = 100 * time.Millisecond

// awaitResponse waits for the pending request to end and reports whether it did in
// time. It returns false at once if no request is pending or the contract is exhausted.
func (a *account) awaitResponse(ctx context.Context) bool {
	a.mu.Lock()
	done, pending := a.done, a.pending && !a.exhausted
	a.mu.Unlock()
	if !pending {
		return false
	}
	timer := time.NewTimer(maxResponseWait)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
