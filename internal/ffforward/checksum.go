package ffforward

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// checksum computes the XXH64 hash of a message's fields. The length of each text,
// body and list is hashed before it, so that the hash input is unambiguous.
type checksum struct{ digest xxhash.Digest }

func newChecksum() *checksum {
	s := &checksum{}
	s.digest.Reset()
	return s
}

func (s *checksum) number(n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = s.digest.Write(b[:])
}

func (s *checksum) text(v string) {
	s.number(uint64(len(v)))
	_, _ = s.digest.WriteString(v)
}

func (s *checksum) content(v []byte) {
	s.number(uint64(len(v)))
	_, _ = s.digest.Write(v)
}

func (s *checksum) headers(all []*ffprotocol.Header) {
	s.number(uint64(len(all)))
	for _, h := range all {
		s.text(h.GetName())
		s.text(h.GetValue())
	}
}

func (s *checksum) load(l *ffprotocol.Load) {
	s.text(l.GetVm())
	s.number(l.GetIncarnation())
	s.number(uint64(l.GetFreeSlots()))
	s.number(uint64(l.GetQueuedShort()))
	s.number(uint64(l.GetQueuedLong()))
	s.number(l.GetVersionNumber())
	s.text(l.GetVersionDigest())
}

// requestChecksum returns the checksum of a request. It covers every field except
// Checksum itself and Idempotent and Resource, which accept compares with its route.
func requestChecksum(r *ffprotocol.ForwardRequest) uint64 {
	s := newChecksum()
	s.text(r.GetCallId())
	s.text(r.GetCustomer())
	s.text(r.GetRoute())
	s.text(r.GetToken())
	s.number(uint64(r.GetRemainingMicros()))
	s.text(r.GetMethod())
	s.text(r.GetPath())
	s.headers(r.GetHeaders())
	s.content(r.GetBody())
	s.number(r.GetVersionNumber())
	s.text(r.GetVersionDigest())
	s.number(r.GetIncarnation())
	s.text(r.GetFrom())
	s.number(uint64(r.GetDeadlineMicros()))
	return s.digest.Sum64()
}

// responseChecksum returns the checksum of every field of a response except Checksum.
func responseChecksum(r *ffprotocol.ForwardResponse) uint64 {
	s := newChecksum()
	s.text(r.GetCallId())
	s.number(uint64(r.GetStatus()))
	s.headers(r.GetHeaders())
	s.content(r.GetBody())
	s.number(uint64(r.GetOutcome()))
	s.number(uint64(r.GetRefusal()))
	s.text(r.GetReason())
	s.number(uint64(r.GetRetryAfterMicros()))
	s.load(r.GetLoad())
	s.text(r.GetNextToken())
	return s.digest.Sum64()
}
