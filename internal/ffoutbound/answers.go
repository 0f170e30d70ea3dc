package ffoutbound

import (
	"sync"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// answers holds the replies to one request that was sent to at most two targets.
type answers struct {
	replies chan *ffmesh.Reply

	mu    sync.Mutex
	ended bool
}

func newAnswers() *answers { return &answers{replies: make(chan *ffmesh.Reply, 2)} }

// add adds a reply, or closes it if nobody waits for it any more.
func (a *answers) add(r *ffmesh.Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		r.Close()
		return
	}
	a.replies <- r
}

// end closes the replies that nobody received, now and later.
func (a *answers) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	for len(a.replies) > 0 {
		(<-a.replies).Close()
	}
}
