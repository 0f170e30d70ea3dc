package ffhop

import (
	"errors"
	"io"
)

// Causes of failures: a head of more than maxHeadBytes, and a body of more than
// maxDrainBytes that nobody needs.
var (
	errHeadTooLong = errors.New("head of the answer is too long")
	errBodyTooLong = errors.New("body of the answer is too long")
)

// headReader reads from a connection. While the head of an answer is read it limits
// the bytes, since a peer may send any number of them that are no answer.
type headReader struct {
	r       io.Reader
	limited bool
	left    int
}

// begin limits what is read from now on.
func (h *headReader) begin() { h.limited, h.left = true, maxHeadBytes }

// end removes the limit.
func (h *headReader) end() { h.limited = false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.limited {
		return h.r.Read(p)
	}
	if h.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := h.r.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}
