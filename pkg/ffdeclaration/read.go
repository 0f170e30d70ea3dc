package ffdeclaration

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"
)

// extension is the file name extension of declaration files.
const extension = ".yaml"

// MaxFileBytes is the maximum size of a declaration file, in bytes.
const MaxFileBytes = 256 << 10

// Read reads and validates the declarations in dir. If any has a fault, it returns an
// Error of kind KindFault whose cause is of type Faults and lists all faults.
func Read(dir string) (*Declarations, error) {
	if _, err := os.ReadDir(dir); err != nil {
		return nil, &Error{Op: "read", Kind: KindRead, Err: merry.Wrap(err)}
	}
	r := reader{dir: dir}
	d := &Declarations{
		contracts: readAll(&r, contractKind),
		services:  readAll(&r, serviceKind),
		routes:    readAll(&r, routeKind),
	}
	if r.err != nil {
		return nil, &Error{Op: "read", Kind: KindRead, Err: r.err}
	}
	d.checkNames()
	d.checkReferences()
	if faults := append(r.faults, d.faults()...); len(faults) > 0 {
		faults.sort()
		return nil, &Error{Op: "read", Kind: KindFault, Err: faults}
	}
	return d, nil
}

// reader reads the files of a directory of declarations.
type reader struct {
	dir    string
	faults Faults
	// err is the first file system error.
	err error
}

// readAll reads and validates all declarations of one directory.
func readAll[T any](r *reader, s declarationKind[T]) []*declaration[T] {
	entries := r.entries(s.directory)
	all := make([]*declaration[T], 0, len(entries))
	for _, e := range entries {
		d := &declaration[T]{document: document{file: filepath.Join(r.dir, s.directory, e.Name())}}
		if content, ok := r.content(&d.document, e.Type()); ok && d.decode(content, &d.value) {
			d.validate(s.validate(&d.value))
		}
		d.setName(s.field, s.name(&d.value))
		all = append(all, d)
	}
	return all
}

// entries lists a directory. A missing directory is a fault.
func (r *reader) entries(directory string) []fs.DirEntry {
	name := filepath.Join(r.dir, directory)
	entries, err := os.ReadDir(name)
	if errors.Is(err, fs.ErrNotExist) {
		r.faults = append(r.faults, Fault{File: name, Line: 1, Message: "is missing; declarations stand in the directories contracts, services and routes"})
		return nil
	}
	r.fail(err)
	return entries
}

// content returns the content of a declaration file. It adds a fault and reports
// false if the file is not a regular file, has another extension or is too long.
func (r *reader) content(d *document, mode fs.FileMode) ([]byte, bool) {
	if !mode.IsRegular() {
		d.add(1, "", "is not a regular file; directories, links and devices are not allowed")
		return nil, false
	}
	if filepath.Ext(d.file) != extension {
		d.add(1, "", "is not a declaration; its name must end in "+extension)
		return nil, false
	}
	content, err := readFile(d.file, MaxFileBytes)
	if errors.Is(err, errTooLong) {
		d.add(1, "", fmt.Sprintf("is too long; at most %d bytes are allowed", MaxFileBytes))
		return nil, false
	}
	r.fail(err)
	return content, err == nil
}

func (r *reader) fail(err error) {
	if r.err == nil && err != nil {
		r.err = merry.Wrap(err)
	}
}

// baseName returns the file name without directory and extension, which is the name
// that the file must declare.
func baseName(file string) string { return strings.TrimSuffix(filepath.Base(file), extension) }
