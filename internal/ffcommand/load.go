package ffcommand

import (
	"errors"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
	"fireflyfall.dev/fireflyfall/pkg/ffdeclaration"
)

// placeholderNumber is the version number for builds that are only inspected, never published.
const placeholderNumber = 1

// loadSnapshot returns the snapshot of a directory with either a bundle or declarations.
func loadSnapshot(op, dir string, stderr io.Writer) (*ffconfig.Snapshot, error) {
	load := func() (*ffdeclaration.Bundle, error) { return buildDirectory(op, dir, placeholderNumber, stderr) }
	if ffdeclaration.IsBundle(dir) {
		load = func() (*ffdeclaration.Bundle, error) { return ffdeclaration.ReadBundle(dir) }
	}
	b, err := load()
	if err != nil {
		return nil, commandError(op, err)
	}
	return b.Snapshot, nil
}

// buildDirectory builds a version from declarations. Faults of the declarations are printed
// to stderr and returned as an error of KindFault.
func buildDirectory(op, dir string, number uint64, stderr io.Writer) (*ffdeclaration.Bundle, error) {
	d, err := ffdeclaration.Read(dir)
	var faults ffdeclaration.Faults
	if errors.As(err, &faults) {
		fmt.Fprintln(stderr, faults)
		return nil, &Error{Op: op, Kind: KindFault, Err: merry.Errorf("faults in %s: %d", dir, len(faults))}
	}
	if err != nil {
		return nil, commandError(op, err)
	}
	b, err := ffdeclaration.Build(d, number)
	if err != nil {
		return nil, commandError(op, err)
	}
	return b, nil
}

// commandError returns err unchanged if it contains an *Error, else wrapped with KindFailed.
func commandError(op string, err error) error {
	var e *Error
	if errors.As(err, &e) {
		return err
	}
	return &Error{Op: op, Kind: KindFailed, Err: err}
}
