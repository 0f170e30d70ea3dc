package ffdistribution

import (
	"sync"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

const (
	// maxQueuedEvidence is the maximum length of an evidence queue.
	maxQueuedEvidence = 1024
	// sendsPerEvidence is the number of messages in which each item is sent.
	sendsPerEvidence = 24
	// evidencePerMessage is the maximum number of items in one message.
	evidencePerMessage = 16
)

// evidenceQueue holds new evidence to be sent with exchanges, latest first. The
// zero value is empty.
type evidenceQueue struct {
	mu      sync.Mutex
	entries []queuedEvidence
}

type queuedEvidence struct {
	evidence  ffmember.Evidence
	sendsLeft int
}

func (q *evidenceQueue) add(fresh []ffmember.Evidence) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range fresh {
		q.entries = append([]queuedEvidence{{evidence: e, sendsLeft: sendsPerEvidence}}, q.entries...)
	}
	q.entries = q.entries[:min(len(q.entries), maxQueuedEvidence)]
}

// clear empties the queue. It is called when a peer reports the same evidence
// digest; peers that still lack evidence are detected by their digest.
func (q *evidenceQueue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.entries = nil
}

// takeBatch returns the evidence for the next message. Items with sends left move
// to the end of the queue.
func (q *evidenceQueue) takeBatch() []ffmember.Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	count := min(len(q.entries), evidencePerMessage)
	batch := make([]ffmember.Evidence, count)
	var requeued []queuedEvidence
	for i, entry := range q.entries[:count] {
		batch[i] = entry.evidence
		if entry.sendsLeft--; entry.sendsLeft > 0 {
			requeued = append(requeued, entry)
		}
	}
	q.entries = append(append([]queuedEvidence{}, q.entries[count:]...), requeued...)
	return batch
}
