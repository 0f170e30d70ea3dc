package ffhop

import "io"

// reporter calls report after each read that returns data.
type reporter struct {
	io.Reader
	report func()
}

// WithProgress wraps r and calls report whenever data is read. It lets callers limit the
// time without progress, not the total time of a long body.
func WithProgress(r io.Reader, report func()) io.Reader { return reporter{Reader: r, report: report} }

// Read implements io.Reader.
func (m reporter) Read(p []byte) (int, error) {
	n, err := m.Reader.Read(p)
	if n > 0 {
		m.report()
	}
	return n, err
}
