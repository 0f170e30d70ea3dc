package ffbalance

import (
	"errors"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// loadOf returns the load report that err carries; empty if it carries none.
func loadOf(err error) ffcall.Load {
	var e *ffcall.Error
	if errors.As(err, &e) {
		return e.Load
	}
	return ffcall.Load{}
}
