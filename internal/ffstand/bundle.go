package ffstand

import (
	"io/fs"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
)

// PublishBundle publishes every file below directory under its relative path.
func (p *Platform) PublishBundle(directory string) error {
	contents, err := readBundle(os.DirFS(directory))
	if err != nil {
		return &Error{Op: "publish bundle", Kind: KindInput, Err: err}
	}
	if len(contents) == 0 {
		return &Error{Op: "publish bundle", Kind: KindInput, Err: merry.Errorf("no files in %q", directory)}
	}
	return p.Publish(contents)
}

// readBundle returns the content of every file by its slash-separated path.
func readBundle(files fs.FS) (map[string][]byte, error) {
	contents := make(map[string][]byte)
	err := fs.WalkDir(files, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		content, err := fs.ReadFile(files, path)
		contents[filepath.ToSlash(path)] = content
		return err
	})
	return contents, err
}
