package ffdeclaration

import (
	"io"
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

// Permissions of what Write creates.
const (
	fileMode      = 0o644
	directoryMode = 0o755
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

// Write writes the pieces and then the manifest below dir.
func (b *Bundle) Write(dir string) error {
	if err := os.MkdirAll(filepath.Join(dir, piecesDirectory), directoryMode); err != nil {
		return &Error{Op: "write", Kind: KindWrite, Err: merry.Wrap(err)}
	}
	for digest, content := range b.Pieces {
		if err := writeFile(filepath.Join(dir, piecesDirectory, string(digest)), content); err != nil {
			return err
		}
	}
	return writeFile(filepath.Join(dir, manifestKey), b.Manifest)
}

// writeFile puts a whole file in place at once.
func writeFile(name string, content []byte) error {
	partial := name + ".partial"
	if err := os.WriteFile(partial, content, fileMode); err != nil {
		return &Error{Op: "write", Kind: KindWrite, Err: merry.Wrap(err)}
	}
	if err := os.Rename(partial, name); err != nil {
		return &Error{Op: "write", Kind: KindWrite, Err: merry.Wrap(err)}
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

// readFile reads a regular file of at most limit bytes.
func readFile(name string, limit int64) ([]byte, error) {
	info, err := os.Lstat(name)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if !info.Mode().IsRegular() {
		return nil, merry.Errorf("%s is not a regular file", name)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer f.Close()
	content, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if int64(len(content)) > limit {
		return nil, merry.Errorf("%s is too long; at most %d bytes are allowed", name, limit)
	}
	return content, nil
}
