package ffdeclaration

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Names in the directory of a bundle; they are also the keys on the platform.
const (
	manifestKey     = "manifest"
	piecesDirectory = "pieces"
)

// Bundle is one version in the form in which operators publish it on the platform.
type Bundle struct {
	// Manifest is the encoded manifest.
	Manifest []byte
	// Pieces maps the digest of each piece to its content.
	Pieces map[ffconfig.Digest][]byte
	// Snapshot is the decoded version, as daemons use it.
	Snapshot *ffconfig.Snapshot
}

// newBundle decodes and validates a manifest and its pieces as a daemon does.
func newBundle(manifest []byte, load func(ffconfig.PieceRef) ([]byte, error)) (*Bundle, error) {
	m, v, err := ffconfig.DecodeManifest(manifest)
	if err != nil {
		return nil, err
	}
	pieces := make(map[ffconfig.Digest][]byte, len(m.Pieces))
	for _, p := range m.Pieces {
		content, err := load(p)
		if err != nil {
			return nil, err
		}
		pieces[p.Digest] = content
	}
	s, err := ffconfig.NewSnapshot(m, v, pieces)
	if err != nil {
		return nil, err
	}
	return &Bundle{Manifest: manifest, Pieces: pieces, Snapshot: s}, nil
}

// Write writes the pieces and then the manifest to dir. It returns an error if dir
// contains another version whose number is not lower, which daemons would not
// reliably replace by this one.
func (b *Bundle) Write(dir string) error {
	if err := b.checkNewer(dir); err != nil {
		return &Error{Op: "write", Kind: KindOrder, Err: err}
	}
	if err := os.MkdirAll(filepath.Join(dir, piecesDirectory), directoryMode); err != nil {
		return &Error{Op: "write", Kind: KindWrite, Err: merry.Wrap(err)}
	}
	for digest, content := range b.Pieces {
		if err := writeFile(filepath.Join(dir, piecesDirectory, string(digest)), content); err != nil {
			return &Error{Op: "write", Kind: KindWrite, Err: err}
		}
	}
	if err := writeFile(filepath.Join(dir, manifestKey), b.Manifest); err != nil {
		return &Error{Op: "write", Kind: KindWrite, Err: err}
	}
	return nil
}

// checkNewer returns an error if dir contains another version whose number is not lower.
func (b *Bundle) checkNewer(dir string) error {
	content, err := readFile(filepath.Join(dir, manifestKey), ffconfig.MaxManifestBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	_, existing, err := ffconfig.DecodeManifest(content)
	if err != nil {
		return err
	}
	v := b.Snapshot.Version()
	if v != existing && v.Number <= existing.Number {
		return merry.Errorf("%s contains version %s; the number must be at least %d", dir, existing, existing.Number+1)
	}
	return nil
}

// ReadBundle reads and validates a bundle written by Write.
func ReadBundle(dir string) (*Bundle, error) {
	manifest, err := readFile(filepath.Join(dir, manifestKey), ffconfig.MaxManifestBytes)
	if err != nil {
		return nil, &Error{Op: "read bundle", Kind: KindRead, Err: err}
	}
	b, err := newBundle(manifest, func(p ffconfig.PieceRef) ([]byte, error) {
		return readFile(filepath.Join(dir, piecesDirectory, string(p.Digest)), ffconfig.MaxPieceBytes)
	})
	if err != nil {
		return nil, &Error{Op: "read bundle", Kind: KindBundle, Err: err}
	}
	return b, nil
}

// IsBundle reports whether dir contains a bundle rather than declarations.
func IsBundle(dir string) bool {
	_, err := os.Lstat(filepath.Join(dir, manifestKey))
	return err == nil
}
