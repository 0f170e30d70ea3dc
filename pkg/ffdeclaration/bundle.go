package ffdeclaration

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Names below the directory of a bundle; they are the keys on the platform.
const (
	manifestKey     = "manifest"
	piecesDirectory = "pieces"
)

// Bundle is one version as the operators publish it on the platform.
type Bundle struct {
	// Manifest is the encoded manifest.
	Manifest []byte
	// Pieces are the contents of the pieces by their digests.
	Pieces map[ffconfig.Digest][]byte
	// Snapshot is what the daemons make of the version.
	Snapshot *ffconfig.Snapshot
}

// newBundle decodes a manifest and its pieces just as a daemon does.
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

// Write writes the pieces and then the manifest below dir. It refuses to replace
// a version that daemons would not give up for this one.
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

// checkNewer compares the version with the one that dir holds.
func (b *Bundle) checkNewer(dir string) error {
	content, err := readFile(filepath.Join(dir, manifestKey), ffconfig.MaxManifestBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	_, there, err := ffconfig.DecodeManifest(content)
	if err != nil {
		return err
	}
	v := b.Snapshot.Version()
	if v != there && v.Number <= there.Number {
		return merry.Errorf("%s holds version %s; the number must be at least %d", dir, there, there.Number+1)
	}
	return nil
}

// ReadBundle reads and verifies what Write has written.
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

// IsBundle reports whether dir holds a bundle rather than declarations.
func IsBundle(dir string) bool {
	_, err := os.Lstat(filepath.Join(dir, manifestKey))
	return err == nil
}
