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
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	// exitInvalid is the status after a check that found errors.
	exitInvalid = 2
)

// programName is the name of the program in help texts and error messages.
const programName = "fireflyfall"

// arguments holds the subcommands, one per field; the one given on the command line is
// not nil after parsing.
type arguments struct {
	Check      *Check      `arg:"subcommand:check" help:"print every fault of the declarations in DIR as file:line: field: message; exit 1 on any"`
	Build      *Build      `arg:"subcommand:build" help:"write the bundle of a version (OUT/manifest and OUT/pieces/DIGEST, the keys to publish; the manifest last)"`
	Diff       *Diff       `arg:"subcommand:diff" help:"print what changes from A to B, one line for each field"`
	Explain    *Explain    `arg:"subcommand:explain" help:"print every limit, share, route and allowance that follows from the contract of CUSTOMER"`
	Daemon     *Daemon     `arg:"subcommand:daemon" help:"run the process beside a target: distribute the configuration and carry the calls"`
	Mesh       *Mesh       `arg:"subcommand:mesh" help:"run the process beside a target on the platform of the settings file"`
	MeshCheck  *MeshCheck  `arg:"subcommand:mesh-check" help:"print what is wrong with a configuration for the platform, and what it changes; exit 2 on errors"`
	MeshStatus *MeshStatus `arg:"subcommand:mesh-status" help:"show what daemons on the platform have in force: version, evacuations, limits"`
	Status     *Status     `arg:"subcommand:status" help:"show what the daemons have in force, per data centre, with laggards named"`
	Audit      *Audit      `arg:"subcommand:audit" help:"print the audit trails of all daemons as JSON lines, in order of time"`
	KeyHash    *KeyHash    `arg:"subcommand:keyhash" help:"read a key from standard input and print its SHA-256 digest for keyHashes"`
}

// Description returns the introduction of the help text.
func (arguments) Description() string {
	return "fireflyfall distributes the configuration of a mesh and carries its calls."
}

// runner is a command with parsed arguments.
type runner interface {
	Run(ctx context.Context, stdout, stderr io.Writer) error
}

// Main parses args, runs the given command and returns the exit status: 0 on success,
// 1 if the command fails, 2 if the arguments are invalid.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: programName, Out: stderr, StrictSubcommands: true}, &a)
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
		return printUsage(p, errors.New("a command is required"), stderr)
	}
	return exitStatus(p, command.Run(ctx, stdout, stderr), stderr)
}

// printHelp prints the help of the selected command, or of the program if none is selected.
func printHelp(p *arg.Parser, stdout io.Writer) int {
	for _, name := range p.SubcommandNames() {
		fmt.Fprintf(stdout, "%s %s: %s\n\n", programName, name, commandHelp(name))
	}
	if err := p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...); err != nil {
		return exitFailure
	}
	return exitOK
}

// printUsage prints a usage error, the names of all commands if none is selected, and the
// help. It returns the exit status.
func printUsage(p *arg.Parser, err error, stderr io.Writer) int {
	fmt.Fprintf(stderr, "%s: %v\n", programName, err)
	if len(p.SubcommandNames()) == 0 {
		fmt.Fprintf(stderr, "allowed commands: %s\n", strings.Join(commandNames(), ", "))
	}
	if err := p.WriteHelpForSubcommand(stderr, p.SubcommandNames()...); err != nil {
		return exitFailure
	}
	return exitUsage
}

// exitStatus prints the error of a command, if any, and returns the exit status.
func exitStatus(p *arg.Parser, err error, stderr io.Writer) int {
	var e *Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &e) && e.Kind == KindUsage:
		return printUsage(p, err, stderr)
	}
	fmt.Fprintf(stderr, "%s: %v\n", programName, err)
	if e != nil && e.Kind == KindInvalid {
		return exitInvalid
	}
	return exitFailure
}
