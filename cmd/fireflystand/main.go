// Command fireflystand runs stand-ins for the platform and for targets, for tests and
// demonstrations.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
)

// Exit statuses.
const (
	exitFailure = 1
	exitUsage   = 2
)

// arguments holds the parsed command line.
type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"run a stand-in for the platform"`
	Target   *targetCommand   `arg:"subcommand:target" help:"run a stand-in for a target"`
}

// Description returns the introduction of the help text.
func (arguments) Description() string {
	return "fireflystand runs small stand-ins for the platform and for targets, for tests and demonstrations."
}

func main() {
	args := parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := args.serve(ctx, log); err != nil {
		log.Error().Err(err).Msg("stopped")
		os.Exit(exitFailure)
	}
	log.Info().Msg("stopped")
}

// parse parses the command line. It exits the process after printing the help or a usage error.
func parse() arguments {
	var args arguments
	parser, err := arg.NewParser(arg.Config{}, &args)
	if err != nil {
		panic(err)
	}
	err = parser.Parse(os.Args[1:])
	if err == nil && parser.Subcommand() == nil {
		err = merry.New("a subcommand is needed: platform or target")
	}
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(os.Stdout, parser.SubcommandNames()...)
		os.Exit(0)
	case err != nil:
		_ = parser.WriteUsageForSubcommand(os.Stderr, parser.SubcommandNames()...)
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(exitUsage)
	}
	return args
}

// serve runs the selected stand-in until ctx is done.
func (a arguments) serve(ctx context.Context, log zerolog.Logger) error {
	if a.Platform != nil {
		return a.Platform.serve(ctx, log)
	}
	return a.Target.serve(ctx, log)
}
