package ffconfig

import (
	"github.com/ansel1/merry/v2"
)

// MaxPieceBytes is the maximum size of the content of one piece, in bytes, well
// below the platform's limit of one megabyte.
const MaxPieceBytes = 512 << 10

// PieceKind is the type of the value that a piece contains.
type PieceKind int

// Kinds of piece.
const (
	PieceContract PieceKind = iota // contract
	PieceService                   // service
	PieceRoute                     // route
)

// MarshalText returns the name of k.
func (k PieceKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText sets k from its name.
func (k *PieceKind) UnmarshalText(text []byte) error {
	for _, known := range []PieceKind{PieceContract, PieceService, PieceRoute} {
		if known.String() == string(text) {
			*k = known
			return nil
		}
	}
	return merry.Errorf("piece kind %q is not contract, service or route", text)
}

// PieceRef identifies a piece of a manifest by the digest of its content.
type PieceRef struct {
	Kind   PieceKind `json:"kind"`
	Name   string    `json:"name"`
	Digest Digest    `json:"digest"`
	// Size is the length of the content, in bytes.
	Size int `json:"size"`
}

// Check returns an error of kind KindMismatch if content does not have the size and
// digest of the reference.
func (p PieceRef) Check(content []byte) error {
	if len(content) != p.Size {
		return &Error{Op: "check", Kind: KindMismatch, Piece: p.Name, Field: "size", Err: merry.Errorf("content has %d bytes, the manifest lists %d", len(content), p.Size)}
	}
	if got := DigestOf(content); got != p.Digest {
		return &Error{Op: "check", Kind: KindMismatch, Piece: p.Name, Field: "digest", Err: merry.Errorf("content has digest %s, the manifest lists %s", got.Short(), p.Digest.Short())}
	}
	return nil
}
