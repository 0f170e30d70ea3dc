package ffdeclaration

import (
	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Build encodes the declarations as the bundle of the version with this number.
func Build(d *Declarations, number uint64) (*Bundle, error) {
	b := builder{manifest: ffconfig.Manifest{Number: number}, pieces: make(map[ffconfig.Digest][]byte)}
	for _, c := range d.contracts {
		b.add(ffconfig.PieceContract, c.value.Customer, &c.value)
	}
	for _, s := range d.services {
		b.add(ffconfig.PieceService, s.value.Name, &s.value)
	}
	for _, r := range d.routes {
		b.add(ffconfig.PieceRoute, r.value.Name, &r.value)
	}
	bundle, err := b.bundle()
	if err != nil {
		return nil, &Error{Op: "build", Kind: KindBundle, Err: err}
	}
	return bundle, nil
}

// builder collects the pieces of a version.
type builder struct {
	manifest ffconfig.Manifest
	pieces   map[ffconfig.Digest][]byte
	// err is the first error.
	err error
}

func (b *builder) add(kind ffconfig.PieceKind, name string, value any) {
	ref, content, err := ffconfig.EncodePiece(kind, name, value)
	if err != nil && b.err == nil {
		b.err = err
	}
	b.manifest.Pieces = append(b.manifest.Pieces, ref)
	b.pieces[ref.Digest] = content
}

func (b *builder) bundle() (*Bundle, error) {
	if b.err != nil {
		return nil, b.err
	}
	encoded, err := b.manifest.Encode()
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return newBundle(encoded, func(p ffconfig.PieceRef) ([]byte, error) { return b.pieces[p.Digest], nil })
}
