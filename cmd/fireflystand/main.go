// Command fireflystand runs small stand-ins for the platform and for targets.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/rs/zerolog"
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
	var args arguments
	parser := arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	var err error
	switch {
	case args.Platform != nil:
		err = args.Platform.serve(ctx, log)
	case args.Target != nil:
		err = args.Target.serve(ctx, log)
	default:
		parser.Fail("a subcommand is needed: platform or target")
	}
	if err != nil {
		log.Error().Err(err).Msg("stopped")
		os.Exit(1)
	}
	log.Info().Msg("stopped")
}
