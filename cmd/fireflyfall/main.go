// Command fireflyfall checks, builds, compares and explains the configuration of a
// mesh, runs its daemons and shows their state.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"fireflyfall.dev/fireflyfall/internal/ffcommand"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ffcommand.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
