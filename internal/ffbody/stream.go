package ffbody

import (
	"io"
	"sync/atomic"
)

// Stream is a body that can be read once, and therefore be sent to one receiver. It is no
// io.Reader, so that nobody can send what another receiver has left of it.
type Stream struct {
	body   io.Reader
	opened atomic.Bool
}

// NewStream returns the stream of a whole body, of which nobody else may read.
func NewStream(body io.Reader) *Stream { return &Stream{body: body} }

// Open returns the whole body, from its first byte. All calls but the first fail with
// KindOpened.
func (s *Stream) Open() (io.Reader, error) {
	if s.opened.Swap(true) {
		return nil, &Error{Op: "open a body", Kind: KindOpened}
	}
	return s.body, nil
}

// Opened reports whether the body was opened, so that it cannot be sent any more.
func (s *Stream) Opened() bool { return s.opened.Load() }
