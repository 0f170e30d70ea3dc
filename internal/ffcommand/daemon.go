package ffcommand

import (
	"context"
	"errors"
	"io"

	"fireflyfall.dev/fireflyfall/internal/ffdaemon"
)

// Daemon runs the daemon next to a target.
type Daemon struct {
	ffdaemon.Settings
}

// Run serves until ctx is done, then shuts the daemon down gracefully: calls in flight
// complete, within the drain timeout. Invalid settings are a usage error.
func (d *Daemon) Run(ctx context.Context, _, stderr io.Writer) error {
	err := ffdaemon.Run(ctx, d.Settings, stderr)
	var e *ffdaemon.Error
	if errors.As(err, &e) && e.Kind == ffdaemon.KindSettings {
		return &Error{Op: "daemon", Kind: KindUsage, Err: err}
	}
	if err != nil {
		return &Error{Op: "daemon", Kind: KindFailed, Err: err}
	}
	return nil
}
