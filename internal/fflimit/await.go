package fflimit

import (
	"context"
	"time"
)

// answerWait bounds the time that a call waits for a grant.
const answerWait = 100 * time.Millisecond

// await waits for the answer to the ask under way and reports whether there was
// one. Where the contract is used up, it does not wait.
func (a *account) await(ctx context.Context) bool {
	a.mu.Lock()
	answered, asking := a.answered, a.asking && !a.exhausted
	a.mu.Unlock()
	if !asking {
		return false
	}
	timer := time.NewTimer(answerWait)
	defer timer.Stop()
	select {
	case <-answered:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
