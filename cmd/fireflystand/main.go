// Command fireflystand runs small stand-ins for the platform and for targets.
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
	statusFailure = 1
	statusUsage   = 2
)

// arguments is the command line.
type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"run a stand-in for the platform"`
	Target   *targetCommand   `arg:"subcommand:target" help:"run a stand-in for a target"`
}

// Description returns the first lines of the help.
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
		os.Exit(statusFailure)
	}
	log.Info().Msg("stopped")
}

// parse reads the command line; it ends the program after the help and after a fault.
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
		os.Exit(statusUsage)
	}
	return args
}

func (a arguments) serve(ctx context.Context, log zerolog.Logger) error {
	if a.Platform != nil {
		return a.Platform.serve(ctx, log)
	}
	return a.Target.serve(ctx, log)
}
