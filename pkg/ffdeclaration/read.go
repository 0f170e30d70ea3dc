package ffdeclaration

import (
	"io"
	"os"
	"path"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Directories of a directory of declarations.
const (
	contractsDirectory = "contracts"
	servicesDirectory  = "services"
	routesDirectory    = "routes"
)

// extension is the end of the name of every declaration file.
const extension = ".yaml"

// MaxFileBytes bounds one declaration file, in bytes.
const MaxFileBytes = 256 << 10

// Read reads the declarations below dir. When any is at fault it returns an
// Error of kind fault whose cause is of type Faults and lists all of them.
func Read(dir string) (*Declarations, error) {
	r := reader{dir: dir}
	d := &Declarations{
		contracts: readAll(&r, contractsDirectory, (*ffconfig.Contract).Validate),
		services:  readAll(&r, servicesDirectory, (*ffconfig.Service).Validate),
		routes:    readAll(&r, routesDirectory, (*ffconfig.Route).Validate),
	}
	if r.err != nil {
		return nil, &Error{Op: "read", Kind: KindRead, Err: r.err}
	}
	d.checkNames()
	d.checkReferences()
	faults := append(r.faults, d.faults()...)
	if len(faults) > 0 {
		faults.sort()
		return nil, &Error{Op: "read", Kind: KindFault, Err: faults}
	}
	return d, nil
}

// reader reads the files of a directory of declarations.
type reader struct {
	dir    string
	faults Faults
	// err is the first failure of the file system.
	err error
}

// readAll reads each declaration of one directory.
func readAll[T any](r *reader, directory string, validate func(*T) []ffconfig.Fault) []*declared[T] {
	var all []*declared[T]
	for _, file := range r.files(directory) {
		content, ok := r.content(file)
		if !ok {
			continue
		}
		d := &declared[T]{document: document{file: file}}
		if d.decode(content, &d.value) {
			d.validate(validate(&d.value))
		}
		all = append(all, d)
	}
	return all
}

// files returns the names of the declarations of one directory, and faults for
// every other entry.
func (r *reader) files(directory string) []string {
	entries, err := os.ReadDir(filepath.Join(r.dir, directory))
	if err != nil {
		r.fail(err)
		return nil
	}
	var files []string
	for _, e := range entries {
		file := path.Join(directory, e.Name())
		switch {
		case !e.Type().IsRegular():
			r.fault(file, "is not a regular file; directories, links and devices are not allowed")
		case path.Ext(file) != extension:
			r.fault(file, "is not a declaration; its name must end in "+extension)
		default:
			files = append(files, file)
		}
	}
	return files
}

// content returns the bytes of a file that is not too long.
func (r *reader) content(file string) ([]byte, bool) {
	f, err := os.Open(filepath.Join(r.dir, filepath.FromSlash(file)))
	if err != nil {
		r.fail(err)
		return nil, false
	}
	defer f.Close()
	content, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		r.fail(err)
		return nil, false
	}
	if len(content) > MaxFileBytes {
		r.fault(file, merry.Errorf("is too long; at most %d bytes are allowed", MaxFileBytes).Error())
		return nil, false
	}
	return content, true
}

func (r *reader) fault(file, message string) {
	r.faults = append(r.faults, Fault{File: file, Line: 1, Message: message})
}

func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = merry.Wrap(err)
	}
}

// baseName returns the name that a file must declare.
func baseName(file string) string { return strings.TrimSuffix(path.Base(file), extension) }
