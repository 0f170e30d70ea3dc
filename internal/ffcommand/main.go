package ffcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/alexflint/go-arg"
)

// Exit statuses of the program.
const (
	exitOK    = 0
	exitFault = 1
	exitUsage = 2
)

// program is the name of the program in its help.
const program = "fireflyfall"

// arguments are all commands; each field is one.
type arguments struct {
	Check   *Check   `arg:"subcommand:check" help:"print every fault of the declarations in DIR as file:line: field: message; exit 1 on any"`
	Build   *Build   `arg:"subcommand:build" help:"write the bundle of a version (OUT/manifest and OUT/pieces/DIGEST, the keys to publish; the manifest last)"`
	Diff    *Diff    `arg:"subcommand:diff" help:"print what changes from A to B, one line for each field"`
	Explain *Explain `arg:"subcommand:explain" help:"print every limit, share, route and allowance that follows from the contract of CUSTOMER"`
	Daemon  *Daemon  `arg:"subcommand:daemon" help:"run the process beside a target: distribute the configuration and carry the calls"`
	Mesh    *Mesh    `arg:"subcommand:mesh" help:"run the process beside a target on the platform of the settings file"`
	Status  *Status  `arg:"subcommand:status" help:"show what the daemons have in force, per data centre, with laggards named"`
	Audit   *Audit   `arg:"subcommand:audit" help:"print the audit trails of all daemons as JSON lines, in order of time"`
	KeyHash *KeyHash `arg:"subcommand:keyhash" help:"read a key from standard input and print its SHA-256 digest for keyHashes"`
}

// Description returns what the help says of the program.
func (arguments) Description() string {
	return "fireflyfall distributes the configuration of a mesh and carries its calls."
}

// runner is a command whose arguments have been read.
type runner interface {
	Run(ctx context.Context, stdout, stderr io.Writer) error
}

// Main reads the arguments, runs the command that they name and returns the
// exit status: 0 when it succeeds, 1 when it fails, 2 when the arguments are bad.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: program, Out: stderr, StrictSubcommands: true}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		return printHelp(p, stdout)
	case err != nil:
		return printUsage(p, err, stderr)
	}
	command, ok := p.Subcommand().(runner)
	if !ok {
		return printUsage(p, errors.New("a command is missing"), stderr)
	}
	return exitStatus(p, command.Run(ctx, stdout, stderr), stderr)
}

// printHelp prints the help of the program, or of the command that was named.
func printHelp(p *arg.Parser, stdout io.Writer) int {
	for _, name := range p.SubcommandNames() {
		fmt.Fprintf(stdout, "%s %s: %s\n\n", program, name, commandHelp(name))
	}
	if err := p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...); err != nil {
		return exitFault
	}
	return exitOK
}

// printUsage names the fault of the arguments and what is allowed.
func printUsage(p *arg.Parser, err error, stderr io.Writer) int {
	fmt.Fprintf(stderr, "%s: %v\n", program, err)
	if len(p.SubcommandNames()) == 0 {
		fmt.Fprintf(stderr, "allowed commands: %s\n", strings.Join(commandNames(), ", "))
	}
	if err := p.WriteHelpForSubcommand(stderr, p.SubcommandNames()...); err != nil {
		return exitFault
	}
	return exitUsage
}

// exitStatus prints the failure of a command and returns the exit status for it.
func exitStatus(p *arg.Parser, err error, stderr io.Writer) int {
	var e *Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &e) && e.Kind == KindUsage:
		return printUsage(p, err, stderr)
	}
	fmt.Fprintf(stderr, "%s: %v\n", program, err)
	return exitFault
}
