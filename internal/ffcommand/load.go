package ffcommand

import (
	"errors"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
	"fireflyfall.dev/fireflyfall/pkg/ffdeclaration"
)

// trialNumber is the number of a version that is built only to look at it.
const trialNumber = 1

// loadSnapshot reads a directory that holds either a bundle or declarations.
func loadSnapshot(op, dir string, stderr io.Writer) (*ffconfig.Snapshot, error) {
	load := func() (*ffdeclaration.Bundle, error) { return buildDirectory(op, dir, trialNumber, stderr) }
	if ffdeclaration.IsBundle(dir) {
		load = func() (*ffdeclaration.Bundle, error) { return ffdeclaration.ReadBundle(dir) }
	}
	b, err := load()
	if err != nil {
		return nil, failed(op, err)
	}
	return b.Snapshot, nil
}

// buildDirectory builds a version from declarations, and prints their faults.
func buildDirectory(op, dir string, number uint64, stderr io.Writer) (*ffdeclaration.Bundle, error) {
	d, err := ffdeclaration.Read(dir)
	var faults ffdeclaration.Faults
	if errors.As(err, &faults) {
		fmt.Fprintln(stderr, faults)
		return nil, &Error{Op: op, Kind: KindFault, Err: merry.Errorf("faults in %s: %d", dir, len(faults))}
	}
	if err != nil {
		return nil, failed(op, err)
	}
	b, err := ffdeclaration.Build(d, number)
	if err != nil {
		return nil, failed(op, err)
	}
	return b, nil
}

// failed returns err as a failure of a command.
func failed(op string, err error) error {
	var e *Error
	if errors.As(err, &e) {
		return err
	}
	return &Error{Op: op, Kind: KindFailed, Err: err}
}
