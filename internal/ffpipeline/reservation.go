package ffpipeline

// Memory limits what is held in memory of responses that cannot be sent yet.
type Memory interface {
	// Reserve reserves a number of bytes, and reports whether they were available. The
	// caller must call release once they are no longer needed.
	Reserve(bytes int64) (release func(), ok bool)
	// Hold counts a number of bytes that are held whether or not they are available. The
	// caller must call release once they are not held any more.
	Hold(bytes int64) (release func())
}

// reservation is the memory reserved for one response. The zero value is empty.
type reservation struct {
	bytes    int
	releases []func()
}

// grow reserves memory until n bytes are reserved, and reports whether they were available
// and n is not above maxHeld.
func (r *reservation) grow(m Memory, n int) bool {
	if m == nil || n > maxHeld {
		return false
	}
	for r.bytes < n {
		release, ok := m.Reserve(flushSize)
		if !ok {
			return false
		}
		r.bytes += flushSize
		r.releases = append(r.releases, release)
	}
	return true
}

// hold counts what is not reserved yet of n bytes.
func (r *reservation) hold(m Memory, n int) {
	if m == nil || n <= r.bytes {
		return
	}
	r.releases = append(r.releases, m.Hold(int64(n-r.bytes)))
	r.bytes = n
}

// release releases all of it.
func (r *reservation) release() {
	for _, release := range r.releases {
		release()
	}
	*r = reservation{}
}
