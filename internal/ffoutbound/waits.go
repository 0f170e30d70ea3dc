package ffoutbound

import (
	"sync"
	"time"
)

// maxWaits bounds the routes whose waits are remembered.
const maxWaits = 4096

// waits remembers how long the clients of each route wait in all, so that one who
// asks again is known by the shorter time that it has left. The zero value is
// ready.
type waits struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// spent returns how much of its time a client that waits so long has used up
// before it asked.
func (w *waits) spent(route string, wait time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.longest == nil || len(w.longest) >= maxWaits {
		w.longest = make(map[string]time.Duration)
	}
	longest := max(w.longest[route], wait)
	w.longest[route] = longest
	return longest - wait
}
