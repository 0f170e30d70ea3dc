package ffmesh

import (
	"runtime/debug"

	"github.com/rs/zerolog"
)

// Contain returns the reply of do to c. An unexpected error in do ends c alone, with an
// unknown outcome, and is logged with its stack.
func Contain(log zerolog.Logger, c *Call, do func() *Reply) (reply *Reply) {
	defer func() {
		if reason := recover(); reason != nil {
			log.Error().Str("request", c.ID).Interface("panic", reason).Bytes("stack", debug.Stack()).Msg("call failed")
			reply = &Reply{Outcome: OutcomeUnknown, Reason: ReasonBroken, Arrived: true}
		}
	}()
	return do()
}
