package ffcommand

import (
	"context"
	"fmt"
	"io"
)

// Check validates a directory of declarations and reports every fault.
type Check struct {
	Dir string `arg:"positional,required" placeholder:"DIR" help:"directory with contracts, services and routes"`
}

// Run validates the declarations and prints how many there are, or every fault on stderr.
func (c *Check) Run(_ context.Context, stdout, stderr io.Writer) error {
	b, err := buildDirectory("check", c.Dir, placeholderNumber, stderr)
	if err != nil {
		return err
	}
	s := b.Snapshot
	_, err = fmt.Fprintf(stdout, "%s: %d contracts, %d services, %d routes: no fault\n", c.Dir, len(s.Customers()), len(s.Services()), len(s.Routes()))
	return err
}
