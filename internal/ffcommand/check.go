package ffcommand

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/pkg/ffdeclaration"
)

// checkNumber is the number of the version that check builds and throws away.
const checkNumber = 1

// Check reports every fault of a directory of declarations.
type Check struct {
	Dir string `arg:"positional,required" placeholder:"DIR" help:"directory with contracts, services and routes"`
}

// Run checks the declarations.
func (c *Check) Run(_ context.Context, stdout, stderr io.Writer) error {
	b, err := buildDirectory("check", c.Dir, checkNumber, stderr)
	if err != nil {
		return err
	}
	s := b.Snapshot
	_, err = fmt.Fprintf(stdout, "%s: %d contracts, %d services, %d routes: no fault\n", c.Dir, len(s.Customers()), len(s.Services()), len(s.Routes()))
	return err
}

// buildDirectory builds a version from declarations, and prints their faults.
func buildDirectory(op, dir string, number uint64, stderr io.Writer) (*ffdeclaration.Bundle, error) {
	d, err := ffdeclaration.Read(dir)
	var faults ffdeclaration.Faults
	if errors.As(err, &faults) {
		fmt.Fprintln(stderr, faults)
		return nil, &Error{Op: op, Kind: KindFault, Err: merry.Errorf("%d faults in %s", len(faults), dir)}
	}
	if err != nil {
		return nil, &Error{Op: op, Kind: KindFailed, Err: err}
	}
	b, err := ffdeclaration.Build(d, number)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindFailed, Err: err}
	}
	return b, nil
}
