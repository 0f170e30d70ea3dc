package ffinbound

import (
	"io"
	"sync"
)

// held gives a slot back when its answer was read or given up.
type held struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

// Close implements io.Closer.
func (h *held) Close() error {
	err := h.ReadCloser.Close()
	h.once.Do(h.release)
	return err
}
