package ffload

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit statuses of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// arguments holds the subcommands, one per field.
type arguments struct {
	Demo       *Demo       `arg:"subcommand:demo" help:"run a deployment on loopback and show the whole path"`
	Experiment *Experiment `arg:"subcommand:experiment" help:"measure the product against a baseline and print one JSON line"`
	Report     *Report     `arg:"subcommand:report" help:"draw one page with plots from the JSON lines of experiments"`
	Soak       *Soak       `arg:"subcommand:soak" help:"run a deployment under load and faults, and judge every promise"`
	MeshSoak   *MeshSoak   `arg:"subcommand:mesh-soak" help:"the same for daemons on the users' platform, with stand-ins of it"`
}

// Description returns the program's description for the help text.
func (arguments) Description() string {
	return "fireflyload runs deployments of fireflyfall as processes on loopback."
}

// runner is a subcommand with parsed arguments.
type runner interface {
	Run(ctx context.Context, out io.Writer) error
}

// Main parses the arguments, runs the selected subcommand and returns the exit
// status: 0 on success, 1 on failure, 2 on invalid arguments.
func Main(ctx context.Context, args []string, out, messages io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "fireflyload", Out: messages, StrictSubcommands: true}, &a)
	if err != nil {
		fmt.Fprintln(messages, err)
		return exitUsage
	}
	err = p.Parse(args)
	command, ok := p.Subcommand().(runner)
	switch {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(out)
		return exitOK
	case err != nil || !ok:
		fmt.Fprintf(messages, "fireflyload: %v\n", errors.Join(err, errors.New("see --help")))
		return exitUsage
	}
	if err := command.Run(ctx, out); err != nil {
		fmt.Fprintf(messages, "fireflyload: %v\n", err)
		return exitFailure
	}
	return exitOK
}
