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
	exitOK    = 0
	exitFault = 1
	exitUsage = 2
)

// arguments are all commands; each field is one.
type arguments struct {
	Demo       *Demo       `arg:"subcommand:demo" help:"run a deployment on loopback and show the whole path"`
	Experiment *Experiment `arg:"subcommand:experiment" help:"measure the product against a baseline and print one JSON line"`
	Report     *Report     `arg:"subcommand:report" help:"draw one page with plots from the JSON lines of experiments"`
	Soak       *Soak       `arg:"subcommand:soak" help:"run a deployment under load and faults, and judge every promise"`
	MeshSoak   *MeshSoak   `arg:"subcommand:mesh-soak" help:"the same for daemons on the users' platform, with stand-ins of it"`
}

// Description returns what the help says of the program.
func (arguments) Description() string {
	return "fireflyload runs deployments of fireflyfall as processes on loopback."
}

// runner is a command whose arguments have been read.
type runner interface {
	Run(ctx context.Context, out io.Writer) error
}

// Main reads the arguments, runs the command that they name and returns the
// exit status: 0 when it succeeds, 1 when it fails, 2 when the arguments are bad.
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
		return exitFault
	}
	return exitOK
}
