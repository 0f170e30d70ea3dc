package ffmesh

import "sync/atomic"

// Memory limits the total size of the bodies in memory: those of requests, and those of
// responses that their clients have not read yet. A nil Memory has no limit.
type Memory struct {
	limit int64
	// used counts all bytes in memory, and held those of them that are held in any case.
	used, held atomic.Int64
}

// NewMemory returns a limit of the given number of bytes, but at least MaxBufferedBody.
func NewMemory(bytes int64) *Memory { return &Memory{limit: max(bytes, MaxBufferedBody)} }

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
	if m.used.Add(size) > m.limit {
		m.used.Add(-size)
		return nil, false
	}
	return func() { m.used.Add(-size) }, true
}

// Hold counts a number of bytes that are in memory in any case, even beyond the limit: a
// response that is ready is delivered. The caller must call release once they are not.
func (m *Memory) Hold(bytes int64) (release func()) {
	if m == nil {
		return func() {}
	}
	m.used.Add(bytes)
	m.held.Add(bytes)
	return func() {
		m.used.Add(-bytes)
		m.held.Add(-bytes)
	}
}

// Used returns the number of bytes in memory.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	return m.used.Load()
}

// Overdrawn reports whether what is held in any case alone is beyond the limit. Bodies that
// were reserved do not count: many long ones must not keep out requests without a body.
func (m *Memory) Overdrawn() bool { return m != nil && m.held.Load() > m.limit }
