package ffmesh

import "golang.org/x/sync/semaphore"

// Memory bounds the bytes of bodies that are held at once. A nil Memory has no bound.
type Memory struct{ free *semaphore.Weighted }

// NewMemory returns a bound of so many bytes, but at least one body's.
func NewMemory(bytes int64) *Memory {
	return &Memory{free: semaphore.NewWeighted(max(bytes, HeldBody))}
}

// Hold takes room for a body of a length in bytes, -1 when it is not known, and
// reports whether there was some. The caller calls release once the body is no
// longer needed.
func (m *Memory) Hold(length int64) (release func(), ok bool) {
	size := length
	if size < 0 || size > HeldBody {
		size = HeldBody
	}
	if m == nil || size == 0 {
		return func() {}, true
	}
	if !m.free.TryAcquire(size) {
		return nil, false
	}
	return func() { m.free.Release(size) }, true
}
