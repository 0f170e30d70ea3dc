package ffcommand

import (
	"context"
	"fmt"
	"io"

	"fireflyfall.dev/fireflyfall/pkg/ffdeclaration"
)

// Diff prints the changes between two configuration versions.
type Diff struct {
	From string `arg:"positional,required" placeholder:"A" help:"directory with a bundle or declarations"`
	To   string `arg:"positional,required" placeholder:"B" help:"directory with a bundle or declarations"`
}

// Run prints one line for each change, followed by the number of changes.
func (d *Diff) Run(_ context.Context, stdout, stderr io.Writer) error {
	from, err := loadSnapshot("diff", d.From, stderr)
	if err != nil {
		return err
	}
	to, err := loadSnapshot("diff", d.To, stderr)
	if err != nil {
		return err
	}
	changes := ffdeclaration.Diff(from, to)
	for _, c := range changes {
		fmt.Fprintln(stdout, c)
	}
	_, err = fmt.Fprintf(stdout, "%d changes\n", len(changes))
	return err
}
