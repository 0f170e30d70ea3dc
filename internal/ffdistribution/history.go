package ffdistribution

import (
	"errors"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// maxSteps bounds the changes that are kept to answer peers with differences.
const maxSteps = 64

// step is the change from one version in force to the next.
type step struct {
	from    ffconfig.Version
	put     []ffconfig.PieceRef
	removed []ffconfig.PieceRef
}

// history is the latest steps up to the version in force, the oldest first.
type history []step

type pieceKey struct {
	kind ffconfig.PieceKind
	name string
}

func keyOf(p ffconfig.PieceRef) pieceKey { return pieceKey{kind: p.Kind, name: p.Name} }

func (h history) with(old, applied *ffconfig.Snapshot) history {
	s := difference(old.Manifest(), applied.Manifest())
	s.from = old.Version()
	next := append(history{}, h[max(len(h)-maxSteps+1, 0):]...)
	return append(next, s)
}

// since returns one step from the base to the version in force, and false when
// the base is not in the history.
func (h history) since(base ffconfig.Version) (step, bool) {
	for i, s := range h {
		if s.from == base {
			return h[i:].compose(), true
		}
	}
	return step{}, false
}

func (h history) compose() step {
	put := make(map[pieceKey]ffconfig.PieceRef)
	removed := make(map[pieceKey]ffconfig.PieceRef)
	for _, s := range h {
		for _, p := range s.put {
			put[keyOf(p)] = p
			delete(removed, keyOf(p))
		}
		for _, p := range s.removed {
			delete(put, keyOf(p))
			removed[keyOf(p)] = p
		}
	}
	composed := step{from: h[0].from}
	for _, p := range put {
		composed.put = append(composed.put, p)
	}
	for _, p := range removed {
		composed.removed = append(composed.removed, p)
	}
	return composed
}

func difference(old, applied ffconfig.Manifest) step {
	var s step
	before := byKey(old)
	after := byKey(applied)
	for _, p := range applied.Pieces {
		if before[keyOf(p)] != p {
			s.put = append(s.put, p)
		}
	}
	for _, p := range old.Pieces {
		if _, ok := after[keyOf(p)]; !ok {
			s.removed = append(s.removed, p)
		}
	}
	return s
}

func byKey(m ffconfig.Manifest) map[pieceKey]ffconfig.PieceRef {
	refs := make(map[pieceKey]ffconfig.PieceRef, len(m.Pieces))
	for _, p := range m.Pieces {
		refs[keyOf(p)] = p
	}
	return refs
}

// changed returns the manifest that a step makes of the base under a new number.
func (s step) changed(base ffconfig.Manifest, number uint64) ffconfig.Manifest {
	refs := byKey(base)
	for _, p := range s.removed {
		delete(refs, keyOf(p))
	}
	for _, p := range s.put {
		refs[keyOf(p)] = p
	}
	m := ffconfig.Manifest{Number: number, Pieces: make([]ffconfig.PieceRef, 0, len(refs))}
	for _, p := range refs {
		m.Pieces = append(m.Pieces, p)
	}
	return m
}

func configKind(err error) ffconfig.Kind {
	var e *ffconfig.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ffconfig.KindUnknown
}

func configField(err error) string {
	var e *ffconfig.Error
	if errors.As(err, &e) {
		return e.Field
	}
	return ""
}
