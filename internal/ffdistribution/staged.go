package ffdistribution

import (
	"sync"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// staged holds the fetched pieces of a version that is not complete yet, up to
// MaxVersionBytes.
type staged struct {
	mu     sync.Mutex
	size   int
	pieces map[ffconfig.Digest][]byte
}

func (s *staged) piece(d ffconfig.Digest) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content, ok := s.pieces[d]
	return content, ok
}

// add stores a piece whose hash was verified. If the piece would exceed
// MaxVersionBytes, all earlier pieces are dropped first.
func (s *staged) add(d ffconfig.Digest, content []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.pieces[d]; ok {
		return
	}
	if s.pieces == nil || s.size+len(content) > MaxVersionBytes {
		s.pieces = make(map[ffconfig.Digest][]byte)
		s.size = 0
	}
	s.pieces[d] = content
	s.size += len(content)
}

func (s *staged) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pieces = nil
	s.size = 0
}
