package ffmesh

import "golang.org/x/sync/semaphore"

// Memory limits the total size of the buffered bodies. A nil Memory has no limit.
type Memory struct{ available *semaphore.Weighted }

// NewMemory returns a limit of the given number of bytes, but at least MaxBufferedBody.
func NewMemory(bytes int64) *Memory {
	return &Memory{available: semaphore.NewWeighted(max(bytes, MaxBufferedBody))}
}

// Reserve reserves memory for a body of the given length in bytes, -1 when unknown, and
// reports whether it was available. At most MaxBufferedBody is reserved, since no more of a
// body is buffered. The caller must call release once the body is no longer needed.
func (m *Memory) Reserve(length int64) (release func(), ok bool) {
	size := length
	if size < 0 || size > MaxBufferedBody {
		size = MaxBufferedBody
	}
	if m == nil || size == 0 {
		return func() {}, true
	}
	if !m.available.TryAcquire(size) {
		return nil, false
	}
	return func() { m.available.Release(size) }, true
}
