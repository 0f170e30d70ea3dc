package ffhop

import (
	"errors"
	"io"
	"sync"
)

var errClosed = errors.New("closed before the end of the answer")

// rest reads the end of a long answer and tells once how it ended.
type rest struct {
	body io.Reader
	once sync.Once
	end  func(err error)
}

// NewRest returns the rest of an answer; end is called once with io.EOF after the
// last byte, or with what kept it from being read.
func NewRest(body io.Reader, end func(err error)) io.ReadCloser {
	return &rest{body: body, end: end}
}

// Read implements io.Reader.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil {
		r.once.Do(func() { r.end(err) })
	}
	return n, err
}

// Close implements io.Closer.
func (r *rest) Close() error {
	r.once.Do(func() { r.end(errClosed) })
	return nil
}
