package ffdeclaration

import (
	"io"
	"os"

	"github.com/ansel1/merry/v2"
)

// Permissions of the files and directories that Write creates.
const (
	fileMode      = 0o644
	directoryMode = 0o755
)

// errTooLong is the cause of an error if a file exceeds its size limit.
var errTooLong = merry.New("too long")

// readFile reads a regular file of at most limit bytes. It rejects symbolic links.
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
		return nil, merry.Prependf(errTooLong, "%s has more than %d bytes", name, limit)
	}
	return content, nil
}

// writeFile writes a file atomically: it writes a temporary file and renames it.
func writeFile(name string, content []byte) error {
	partial := name + ".partial"
	if err := os.WriteFile(partial, content, fileMode); err != nil {
		return merry.Wrap(err)
	}
	return merry.Wrap(os.Rename(partial, name))
}
