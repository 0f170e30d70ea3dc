package ffbody

import (
	"bufio"
	"context"
	"io"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// Stream is a body that can be read once, and therefore be sent to one receiver. It is no
// io.Reader, so that nobody can send what another receiver has left of it.
//
// To read from a body asks its sender for it, and a sender that has not sent any of it may
// still give up and promise that the request never runs. Nobody gets the body, and with it the
// means to send the request on, before its first byte is there.
type Stream struct {
	body   *bufio.Reader
	opened atomic.Bool

	asked sync.Once
	// begun is closed when the first byte has come, or can no more; err is why it cannot.
	begun chan struct{}
	err   error
}

// NewStream returns the stream of a whole body, of which nobody else may read.
func NewStream(body io.Reader) *Stream {
	return &Stream{body: bufio.NewReader(body), begun: make(chan struct{})}
}

// Await asks for the body and waits until its first byte is there. It leaves the body whole.
// It fails with KindNotBegun if the body fails before that or ctx ends.
func (s *Stream) Await(ctx context.Context) error {
	s.asked.Do(func() { go s.run() })
	select {
	case <-s.begun:
	case <-ctx.Done():
		return &Error{Op: "await a body", Kind: KindNotBegun, Err: context.Cause(ctx)}
	}
	if s.err != nil {
		return &Error{Op: "await a body", Kind: KindNotBegun, Err: s.err}
	}
	return nil
}

// run reads the first byte. An unexpected error of the reader ends this body alone.
func (s *Stream) run() {
	defer close(s.begun)
	defer func() {
		if reason := recover(); reason != nil {
			s.err = merry.Errorf("panic: %v\n%s", reason, debug.Stack())
		}
	}()
	_, s.err = s.body.Peek(1)
}

// Open waits until the first byte is there and returns the whole body. All calls but the
// first fail with KindOpened; the first fails as Await does.
func (s *Stream) Open(ctx context.Context) (io.Reader, error) {
	if s.opened.Swap(true) {
		return nil, &Error{Op: "open a body", Kind: KindOpened}
	}
	if err := s.Await(ctx); err != nil {
		return nil, err
	}
	return s.body, nil
}

// Opened reports whether the body was opened, so that it cannot be sent any more.
func (s *Stream) Opened() bool { return s.opened.Load() }
