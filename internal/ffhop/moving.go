package ffhop

import "io"

// moving calls progress for each part that is read.
type moving struct {
	io.Reader
	progress func()
}

// Moving returns r, calling progress whenever bytes come, so that a long body may
// take its time while it moves.
func Moving(r io.Reader, progress func()) io.Reader { return moving{Reader: r, progress: progress} }

// Read implements io.Reader.
func (m moving) Read(p []byte) (int, error) {
	n, err := m.Reader.Read(p)
	if n > 0 {
		m.progress()
	}
	return n, err
}
