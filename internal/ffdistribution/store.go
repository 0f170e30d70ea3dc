package ffdistribution

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// maxRefused bounds the refused versions that a store remembers.
	maxRefused = 64
	// MaxVersionBytes bounds the pieces of one version, in bytes.
	MaxVersionBytes = 24 << 20
)

// Auditor keeps the trail of changes.
type Auditor interface {
	Record(ffaudit.Event)
}

// Store holds the version in force. It never goes back: a version replaces only
// an older one, whole. The zero value holds none.
type Store struct {
	// Audit receives what was applied and refused; nothing when nil.
	Audit Auditor
	// OnApply is called after each change, in order, with the old snapshot (nil
	// for the first) and the new one; it must not block.
	OnApply func(old, applied *ffconfig.Snapshot)

	mu        sync.Mutex
	inForce   atomic.Pointer[inForce]
	refused   []refusal
	conflicts []ffconfig.Version
	counts    counts
}

// refusal is a version that is not tried again. One that is not final came
// damaged from the platform: it may still come from a peer that has it whole, or
// from the platform once the manifest is published again.
type refusal struct {
	version ffconfig.Version
	final   bool
	// revision is the platform's revision of the manifest.
	revision uint64
}

// inForce is the version in force with all that peers may ask for.
type inForce struct {
	snapshot *ffconfig.Snapshot
	manifest []byte
	pieces   map[ffconfig.Digest][]byte
	history  history
}

// Snapshot returns the version in force; nil when there is none.
func (s *Store) Snapshot() *ffconfig.Snapshot {
	f := s.inForce.Load()
	if f == nil {
		return nil
	}
	return f.snapshot
}

// Version returns the version in force; zero when there is none.
func (s *Store) Version() ffconfig.Version {
	f := s.inForce.Load()
	if f == nil {
		return ffconfig.Version{}
	}
	return f.snapshot.Version()
}

// Wants reports whether v would replace the version in force and was not refused for its content.
func (s *Store) Wants(v ffconfig.Version) bool {
	return v.NewerThan(s.Version()) && !s.isRefused(refusal{version: v, final: true})
}

// WantsFromPlatform reports whether Wants holds and v did not come damaged from
// the platform at this revision of the manifest.
func (s *Store) WantsFromPlatform(v ffconfig.Version, revision uint64) bool {
	return s.Wants(v) && !s.isRefused(refusal{version: v, revision: revision})
}

func (s *Store) isRefused(r refusal) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.refused, r)
}

// Apply puts a version in force when it is newer and whole, and returns an error
// otherwise. A fault in its content is final: the version is refused for good.
func (s *Store) Apply(manifest []byte, pieces map[ffconfig.Digest][]byte) error {
	e, err := decodeManifest(manifest)
	if err != nil {
		return err
	}
	return s.apply(e, pieces)
}

// encoded is a manifest with its encoding and the version that it stands for.
type encoded struct {
	manifest ffconfig.Manifest
	version  ffconfig.Version
	content  []byte
}

func (s *Store) apply(e encoded, pieces map[ffconfig.Digest][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := e.version
	if !v.NewerThan(s.Version()) {
		return &Error{Op: "apply", Kind: KindOlder, Err: merry.Errorf("%v is not newer than %v", v, s.Version())}
	}
	if slices.Contains(s.refused, refusal{version: v, final: true}) {
		return &Error{Op: "apply", Kind: KindRefused, Err: merry.Errorf("%v was refused before", v)}
	}
	snapshot, err := s.next(e, pieces)
	if err != nil {
		return s.fault(v, err)
	}
	s.swap(snapshot, e.content, pieces)
	return nil
}

// next returns the snapshot of a version, which takes over what the one in force has decoded.
func (s *Store) next(e encoded, pieces map[ffconfig.Digest][]byte) (*ffconfig.Snapshot, error) {
	if size := totalSize(e.manifest); size > MaxVersionBytes {
		return nil, &ffconfig.Error{Op: "apply", Kind: ffconfig.KindTooLarge, Err: merry.Errorf("%d bytes of pieces, at most %d", size, MaxVersionBytes)}
	}
	return s.Snapshot().Next(e.manifest, e.version, pieces)
}

func totalSize(m ffconfig.Manifest) int {
	total := 0
	for _, p := range m.Pieces {
		total += p.Size
	}
	return total
}

// fault refuses the version for good unless a piece is merely missing or damaged on the way.
func (s *Store) fault(v ffconfig.Version, err error) error {
	switch configKind(err) {
	case ffconfig.KindMissing:
		return &Error{Op: "apply", Kind: KindMissing, Err: err}
	case ffconfig.KindMismatch:
		if configField(err) != "name" {
			return &Error{Op: "apply", Kind: KindCorrupt, Err: err}
		}
	}
	s.refuse(refusal{version: v, final: true}, err)
	return &Error{Op: "apply", Kind: KindRefused, Err: err}
}

// RefuseFromPlatform marks a version that came damaged from the platform at a
// revision of the manifest, with the reason.
func (s *Store) RefuseFromPlatform(v ffconfig.Version, revision uint64, reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse(refusal{version: v, revision: revision}, reason)
}

func (s *Store) refuse(r refusal, reason error) {
	if slices.Contains(s.refused, r) {
		return
	}
	s.refused = appendBounded(s.refused, r, maxRefused)
	s.counts.refused.Add(1)
	s.record(ffaudit.KindVersionRefused, r.version, reason.Error())
}

func (s *Store) swap(snapshot *ffconfig.Snapshot, manifest []byte, pieces map[ffconfig.Digest][]byte) {
	old := s.inForce.Load()
	next := &inForce{snapshot: snapshot, manifest: manifest, pieces: make(map[ffconfig.Digest][]byte)}
	for _, p := range snapshot.Manifest().Pieces {
		next.pieces[p.Digest] = pieces[p.Digest]
	}
	var oldSnapshot *ffconfig.Snapshot
	if old != nil {
		oldSnapshot = old.snapshot
		next.history = old.history.with(oldSnapshot, snapshot)
	}
	s.inForce.Store(next)
	s.counts.applied.Add(1)
	s.record(ffaudit.KindVersionApplied, snapshot.Version(), "in force")
	if s.OnApply != nil {
		s.OnApply(oldSnapshot, snapshot)
	}
}

// Observe audits that a version was seen whose number the version in force carries with other content.
func (s *Store) Observe(v ffconfig.Version) {
	current := s.Version()
	if !v.ConflictsWith(current) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.conflicts, v) {
		return
	}
	s.conflicts = appendBounded(s.conflicts, v, maxRefused)
	s.counts.conflicts.Add(1)
	s.record(ffaudit.KindVersionConflict, v, "same number as "+current.String()+" with other content")
}

// manifestSince answers with the manifest in force, as a difference from base
// when the history reaches back to it and a whole one is not asked for.
func (s *Store) manifestSince(base ffconfig.Version, whole bool, from *ffprotocol.Summary) *ffprotocol.ManifestResponse {
	f := s.inForce.Load()
	from.Version = versionOut(f.snapshot.Version())
	from.Seal()
	out := &ffprotocol.ManifestResponse{From: from}
	change, ok := f.history.since(base)
	if whole || !ok {
		out.Whole = f.manifest
		return out
	}
	out.Base = versionOut(base)
	out.Put = refsOut(change.put)
	out.Removed = refsOut(change.removed)
	return out
}

// Piece returns the content of a piece of the version in force.
func (s *Store) Piece(d ffconfig.Digest) ([]byte, bool) {
	f := s.inForce.Load()
	if f == nil {
		return nil, false
	}
	content, ok := f.pieces[d]
	return content, ok
}

func (s *Store) record(kind ffaudit.Kind, v ffconfig.Version, detail string) {
	if s.Audit == nil {
		return
	}
	s.Audit.Record(ffaudit.Event{Kind: kind, Version: v.String(), Detail: detail})
}

// appendBounded appends v and drops the oldest above the bound.
func appendBounded[T any](all []T, v T, bound int) []T {
	all = append(all, v)
	return all[max(len(all)-bound, 0):]
}
