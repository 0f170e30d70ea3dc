package ffload

import (
	"context"
	"fmt"
	"io"

	"fireflyfall.dev/fireflyfall/internal/ffreport"
)

// Report is the report subcommand: it renders the JSON reports of experiments as one
// page.
type Report struct {
	Directory string `arg:"positional,required" placeholder:"DIR" help:"directory with .json files of experiments; takes the page report.html"`
}

// Run writes the page and prints its path.
func (r *Report) Run(_ context.Context, out io.Writer) error {
	path, err := ffreport.Write(r.Directory)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, path)
	return err
}
