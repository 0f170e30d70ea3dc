package ffconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// MaxManifestBytes is the maximum size of an encoded manifest, in bytes; the
// platform stores values of at most one megabyte.
const MaxManifestBytes = 1_000_000

// Manifest lists the pieces of one version.
type Manifest struct {
	Number uint64     `json:"number"`
	Pieces []PieceRef `json:"pieces"`
}

// Encode returns the canonical encoding of m, with its pieces sorted by kind and name.
func (m Manifest) Encode() ([]byte, error) {
	m.Pieces = slices.Clone(m.Pieces)
	slices.SortFunc(m.Pieces, func(a, b PieceRef) int {
		if a.Kind != b.Kind {
			return int(a.Kind) - int(b.Kind)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return json.Marshal(m)
}

// DecodeManifest decodes and validates a manifest and returns it with its version.
func DecodeManifest(content []byte) (Manifest, Version, error) {
	var m Manifest
	if len(content) > MaxManifestBytes {
		return m, Version{}, &Error{Op: "decode manifest", Kind: KindTooLarge, Err: merry.Errorf("%d bytes, at most %d", len(content), MaxManifestBytes)}
	}
	if err := decodeStrict(content, &m); err != nil {
		return m, Version{}, &Error{Op: "decode manifest", Kind: KindMalformed, Err: err}
	}
	if err := m.validate(); err != nil {
		return m, Version{}, err
	}
	return m, Version{Number: m.Number, Digest: DigestOf(content)}, nil
}

func (m Manifest) validate() error {
	if m.Number == 0 {
		return &Error{Op: "decode manifest", Kind: KindInvalid, Field: "number", Err: merry.New("must be at least 1")}
	}
	type key struct {
		kind PieceKind
		name string
	}
	seen := make(map[key]bool, len(m.Pieces))
	for _, p := range m.Pieces {
		k := key{kind: p.Kind, name: p.Name}
		switch {
		case seen[k]:
			return &Error{Op: "decode manifest", Kind: KindInvalid, Piece: p.Name, Err: merry.New("listed twice")}
		case !p.Digest.Valid():
			return &Error{Op: "decode manifest", Kind: KindInvalid, Piece: p.Name, Field: "digest", Err: merry.New("not a SHA-256 digest")}
		case p.Size < 0 || p.Size > MaxPieceBytes:
			return &Error{Op: "decode manifest", Kind: KindTooLarge, Piece: p.Name, Field: "size", Err: merry.Errorf("%d bytes, at most %d", p.Size, MaxPieceBytes)}
		}
		seen[k] = true
	}
	return nil
}

// decodeStrict decodes one JSON value and rejects unknown fields and trailing content.
func decodeStrict(content []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return merry.New("unexpected content after the JSON value")
	}
	return nil
}
