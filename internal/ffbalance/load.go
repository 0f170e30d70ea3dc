package ffbalance

import (
	"errors"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// loadOf returns the load that a refusal carries; empty when it carries none.
func loadOf(err error) ffcall.Load {
	var e *ffcall.Error
	if errors.As(err, &e) {
		return e.Load
	}
	return ffcall.Load{}
}
