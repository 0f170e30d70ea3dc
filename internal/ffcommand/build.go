package ffcommand

import (
	"context"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
)

// Build builds a configuration version from declarations and writes its bundle.
type Build struct {
	Dir    string `arg:"positional,required" placeholder:"DIR" help:"directory with contracts, services and routes"`
	Out    string `arg:"-o,--out,required" placeholder:"OUT" help:"directory that receives manifest and pieces/DIGEST"`
	Number uint64 `arg:"-n,--number,required" placeholder:"N" help:"number of the version, from 1, above that of every version published before"`
}

// Run builds the version, writes its bundle to b.Out and prints a summary.
func (b *Build) Run(_ context.Context, stdout, stderr io.Writer) error {
	if b.Number == 0 {
		return &Error{Op: "build", Kind: KindUsage, Err: merry.New("--number is 0, allowed is 1 or more")}
	}
	bundle, err := buildDirectory("build", b.Dir, b.Number, stderr)
	if err != nil {
		return err
	}
	if err := bundle.Write(b.Out); err != nil {
		return commandError("build", err)
	}
	_, err = fmt.Fprintf(stdout, "version %s: %d pieces in %s\n", bundle.Snapshot.Version(), len(bundle.Pieces), b.Out)
	return err
}
