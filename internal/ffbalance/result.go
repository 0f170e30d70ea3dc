package ffbalance

import (
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Result is the result of an attempt at a target.
type Result struct {
	Class ffconfig.Class
	// Latency is the time from the start of the attempt to its end.
	Latency time.Duration
	// Failed is set if the attempt got no answer; Kind is then the reason.
	Failed bool
	Kind   ffcall.Kind
	// Load is the report of the daemon on the target's VM; empty if there was none.
	Load ffcall.Load
}

// ResultOf returns the result of an attempt that returned reply or err.
func ResultOf(class ffconfig.Class, latency time.Duration, reply *ffcall.Reply, err error) Result {
	r := Result{Class: class, Latency: latency}
	if err == nil {
		r.Load = reply.Load
		return r
	}
	r.Failed = true
	r.Kind = ffcall.KindOf(err)
	r.Load = loadOf(err)
	return r
}

// isTargetFault reports whether the attempt failed for a reason that indicates a
// fault of the target.
func (r Result) isTargetFault() bool {
	if !r.Failed {
		return false
	}
	switch r.Kind {
	case ffcall.KindUnknown, ffcall.KindUnreachable, ffcall.KindNoResponse, ffcall.KindTruncated, ffcall.KindMismatched, ffcall.KindNotReady:
		return true
	default:
		return false
	}
}

// isSample reports whether the latency is that of an answer and so a sample for
// the average.
func (r Result) isSample() bool { return !r.Failed }

// isLowerBound reports whether the latency is only a lower bound, because the
// attempt was abandoned before an answer.
func (r Result) isLowerBound() bool {
	return r.Failed && (r.Kind == ffcall.KindCancelled || r.Kind == ffcall.KindNoResponse)
}
