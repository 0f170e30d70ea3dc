package ffgossip

import (
	"runtime/debug"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
)

// contain runs one step of a loop. An unexpected error ends this step alone: it is logged
// with its stack, and returned.
func contain(log *zerolog.Logger, op string, step func()) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			log.Error().Str("op", op).Interface("panic", reason).Bytes("stack", debug.Stack()).Msg("step failed")
			err = &Error{Op: op, Kind: KindPanic, Err: merry.Errorf("%v", reason)}
		}
	}()
	step()
	return nil
}
