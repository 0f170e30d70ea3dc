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
	// maxRefused is the maximum number of refused versions, and of conflicting
	// versions, that a store remembers.
	maxRefused = 64
	// MaxVersionBytes is the maximum total size of the pieces of one version, in bytes.
	MaxVersionBytes = 24 << 20
)

// Auditor records audit events.
type Auditor interface {
	Record(ffaudit.Event)
}

// Store holds the active version. A version is only ever replaced as a whole, by a
// newer one. The zero value has no active version.
type Store struct {
	// Audit records applied, refused and conflicting versions; optional.
	Audit Auditor
	// OnApply is called after each change, in order, with the old snapshot (nil
	// for the first) and the new one; it must not block. Optional.
	OnApply func(old, applied *ffconfig.Snapshot)

	mu        sync.Mutex
	active    atomic.Pointer[activeVersion]
	refused   []refusal
	conflicts []ffconfig.Version
	counts    storeCounts
}

// refusal is a version that is not tried again. If it is not final, the version was
// corrupt when read from the platform: it may still be pulled from a peer that has
// it intact, or read again once the manifest has a new revision.
type refusal struct {
	version ffconfig.Version
	final   bool
	// revision is the platform's revision of the manifest.
	revision uint64
}

// activeVersion is the active version with the data that peers may request.
type activeVersion struct {
	snapshot *ffconfig.Snapshot
	manifest []byte
	pieces   map[ffconfig.Digest][]byte
	history  history
}

// Snapshot returns the active version; nil if there is none.
func (s *Store) Snapshot() *ffconfig.Snapshot {
	active := s.active.Load()
	if active == nil {
		return nil
	}
	return active.snapshot
}

// Version returns the identifier of the active version; zero if there is none.
func (s *Store) Version() ffconfig.Version {
	active := s.active.Load()
	if active == nil {
		return ffconfig.Version{}
	}
	return active.snapshot.Version()
}

// ShouldApply reports whether v is newer than the active version and was not refused for
// its content.
func (s *Store) ShouldApply(v ffconfig.Version) bool {
	return v.NewerThan(s.Version()) && !s.isRefused(refusal{version: v, final: true})
}

// ShouldApplyFromPlatform reports whether v is newer than the active version and was
// refused neither for its content nor as corrupt at this revision of the platform's
// manifest.
func (s *Store) ShouldApplyFromPlatform(v ffconfig.Version, revision uint64) bool {
	return s.ShouldApply(v) && !s.isRefused(refusal{version: v, revision: revision})
}

func (s *Store) isRefused(r refusal) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.refused, r)
}

// Apply activates a version if it is newer than the active one and complete, and
// returns an error otherwise. A version with invalid content is refused permanently.
func (s *Store) Apply(manifest []byte, pieces map[ffconfig.Digest][]byte) error {
	e, err := decodeManifest(manifest)
	if err != nil {
		return err
	}
	return s.apply(e, pieces)
}

// encodedManifest is a manifest with its version and its encoding.
type encodedManifest struct {
	manifest ffconfig.Manifest
	version  ffconfig.Version
	content  []byte
}

func (s *Store) apply(e encodedManifest, pieces map[ffconfig.Digest][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := e.version
	if !v.NewerThan(s.Version()) {
		return &Error{Op: "apply", Kind: KindOlder, Err: merry.Errorf("%v is not newer than %v", v, s.Version())}
	}
	if slices.Contains(s.refused, refusal{version: v, final: true}) {
		return &Error{Op: "apply", Kind: KindRefused, Err: merry.Errorf("%v was refused before", v)}
	}
	snapshot, err := s.buildSnapshot(e, pieces)
	if err != nil {
		return s.classifyFault(v, err)
	}
	s.activate(snapshot, e.content, pieces)
	return nil
}

// buildSnapshot builds the snapshot of a version. It reuses the decoded pieces of
// the active snapshot.
func (s *Store) buildSnapshot(e encodedManifest, pieces map[ffconfig.Digest][]byte) (*ffconfig.Snapshot, error) {
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

// classifyFault converts an error of buildSnapshot. It refuses the version
// permanently unless a piece is only missing or was corrupted in transit.
func (s *Store) classifyFault(v ffconfig.Version, err error) error {
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

// RefuseFromPlatform refuses a version that was corrupt when read from the platform,
// for one revision of the manifest.
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

func (s *Store) activate(snapshot *ffconfig.Snapshot, manifest []byte, pieces map[ffconfig.Digest][]byte) {
	old := s.active.Load()
	next := &activeVersion{snapshot: snapshot, manifest: manifest, pieces: make(map[ffconfig.Digest][]byte)}
	for _, p := range snapshot.Manifest().Pieces {
		next.pieces[p.Digest] = pieces[p.Digest]
	}
	var oldSnapshot *ffconfig.Snapshot
	if old != nil {
		oldSnapshot = old.snapshot
		next.history = old.history.with(oldSnapshot, snapshot)
	}
	s.active.Store(next)
	s.counts.applied.Add(1)
	s.record(ffaudit.KindVersionApplied, snapshot.Version(), "in force")
	if s.OnApply != nil {
		s.OnApply(oldSnapshot, snapshot)
	}
}

// AuditConflict audits, once, a version that has the same number as the active version
// but different content.
func (s *Store) AuditConflict(v ffconfig.Version) {
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

// manifestSince returns the active manifest, as a delta from base if the history
// contains base and whole is false. There must be an active version.
func (s *Store) manifestSince(base ffconfig.Version, whole bool, from *ffprotocol.Summary) *ffprotocol.ManifestResponse {
	active := s.active.Load()
	from.Version = versionToProto(active.snapshot.Version())
	from.SetChecksum()
	out := &ffprotocol.ManifestResponse{From: from}
	delta, ok := active.history.since(base)
	if whole || !ok {
		out.Whole = active.manifest
		return out
	}
	out.Base = versionToProto(base)
	out.Put = refsToProto(delta.put)
	out.Removed = refsToProto(delta.removed)
	return out
}

// Piece returns the content of a piece of the active version.
func (s *Store) Piece(d ffconfig.Digest) ([]byte, bool) {
	active := s.active.Load()
	if active == nil {
		return nil, false
	}
	content, ok := active.pieces[d]
	return content, ok
}

func (s *Store) record(kind ffaudit.Kind, v ffconfig.Version, detail string) {
	if s.Audit == nil {
		return
	}
	s.Audit.Record(ffaudit.Event{Kind: kind, Version: v.String(), Detail: detail})
}

// appendBounded appends v and drops the oldest items beyond bound.
func appendBounded[T any](all []T, v T, bound int) []T {
	all = append(all, v)
	return all[max(len(all)-bound, 0):]
}
