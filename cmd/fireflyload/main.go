// Command fireflyload runs deployments of fireflyfall as processes on loopback, for a
// demo, experiments under load and soak tests, and draws reports of experiments.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"fireflyfall.dev/fireflyfall/internal/ffload"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ffload.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
