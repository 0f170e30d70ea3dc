package main

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffstand"
)

// platformCommand holds the settings of the stand-in for the platform.
type platformCommand struct {
	Listen         string        `arg:"--listen,env:STAND_LISTEN" default:"127.0.0.1:0" help:"address for readers"`
	Control        string        `arg:"--control,env:STAND_CONTROL" default:"127.0.0.1:0" help:"address for tests, on loopback"`
	Bundle         string        `arg:"--bundle,env:STAND_BUNDLE" help:"directory of a version bundle to publish at start"`
	CallsPerSecond uint64        `arg:"--calls-per-second,env:STAND_CALLS_PER_SECOND" default:"2000" help:"ceiling of the rate, 0 for none"`
	VMLag          time.Duration `arg:"--vm-lag,env:STAND_VM_LAG" default:"0s" help:"time for which changes of the VM list stay hidden"`
}

// serve publishes the bundle, if one is set, and runs the platform until ctx is done.
func (c *platformCommand) serve(ctx context.Context, log zerolog.Logger) error {
	platform := ffstand.NewPlatform(ffstand.PlatformSettings{MaxCallsPerSecond: c.CallsPerSecond})
	platform.SetVMLag(c.VMLag)
	if c.Bundle != "" {
		if err := platform.PublishBundle(c.Bundle); err != nil {
			return err
		}
	}
	return serve(ctx, log, endpoints{
		listen:         c.Listen,
		handler:        platform.Handler(),
		control:        c.Control,
		controlHandler: platform.ControlHandler(),
	})
}
