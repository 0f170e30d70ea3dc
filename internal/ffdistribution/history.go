package ffdistribution

import (
	"errors"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// maxDeltas is the number of deltas kept for answering peers without a whole manifest.
const maxDeltas = 64

// manifestDelta is the change from one active version to the next.
type manifestDelta struct {
	from    ffconfig.Version
	put     []ffconfig.PieceRef
	removed []ffconfig.PieceRef
}

// history holds the latest deltas up to the active version, oldest first.
type history []manifestDelta

type pieceKey struct {
	kind ffconfig.PieceKind
	name string
}

func keyOf(p ffconfig.PieceRef) pieceKey { return pieceKey{kind: p.Kind, name: p.Name} }

func (h history) with(old, applied *ffconfig.Snapshot) history {
	d := diffManifests(old.Manifest(), applied.Manifest())
	d.from = old.Version()
	next := append(history{}, h[max(len(h)-maxDeltas+1, 0):]...)
	return append(next, d)
}

// since returns the delta from base to the active version, and false if base is
// not in the history.
func (h history) since(base ffconfig.Version) (manifestDelta, bool) {
	for i, d := range h {
		if d.from == base {
			return h[i:].compose(), true
		}
	}
	return manifestDelta{}, false
}

func (h history) compose() manifestDelta {
	put := make(map[pieceKey]ffconfig.PieceRef)
	removed := make(map[pieceKey]ffconfig.PieceRef)
	for _, d := range h {
		for _, p := range d.put {
			put[keyOf(p)] = p
			delete(removed, keyOf(p))
		}
		for _, p := range d.removed {
			delete(put, keyOf(p))
			removed[keyOf(p)] = p
		}
	}
	composed := manifestDelta{from: h[0].from}
	for _, p := range put {
		composed.put = append(composed.put, p)
	}
	for _, p := range removed {
		composed.removed = append(composed.removed, p)
	}
	return composed
}

func diffManifests(old, applied ffconfig.Manifest) manifestDelta {
	var d manifestDelta
	before := refsByKey(old)
	after := refsByKey(applied)
	for _, p := range applied.Pieces {
		if before[keyOf(p)] != p {
			d.put = append(d.put, p)
		}
	}
	for _, p := range old.Pieces {
		if _, ok := after[keyOf(p)]; !ok {
			d.removed = append(d.removed, p)
		}
	}
	return d
}

func refsByKey(m ffconfig.Manifest) map[pieceKey]ffconfig.PieceRef {
	refs := make(map[pieceKey]ffconfig.PieceRef, len(m.Pieces))
	for _, p := range m.Pieces {
		refs[keyOf(p)] = p
	}
	return refs
}

// applyTo returns the manifest that results from applying the delta to base, with
// the given number.
func (d manifestDelta) applyTo(base ffconfig.Manifest, number uint64) ffconfig.Manifest {
	refs := refsByKey(base)
	for _, p := range d.removed {
		delete(refs, keyOf(p))
	}
	for _, p := range d.put {
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
