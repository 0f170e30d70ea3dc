package ffhop

import "io"

// progressReader calls progress after each read that returns data.
type progressReader struct {
	io.Reader
	progress func()
}

// Moving wraps r and calls progress whenever data is read. It lets callers limit
// the time without progress, not the total time of a long body.
func Moving(r io.Reader, progress func()) io.Reader {
	return progressReader{Reader: r, progress: progress}
}

// Read implements io.Reader.
func (m progressReader) Read(p []byte) (int, error) {
	n, err := m.Reader.Read(p)
	if n > 0 {
		m.progress()
	}
	return n, err
}
