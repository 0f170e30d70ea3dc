package ffbalance

import (
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Result is how an attempt at a target ended.
type Result struct {
	Class ffconfig.Class
	// Latency is the time from the start of the attempt to its end.
	Latency time.Duration
	// Failed tells that the attempt brought no answer; Kind then tells why.
	Failed bool
	Kind   ffcall.Kind
	// Load is what the daemon beside the target told; empty when it told nothing.
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

// faulty reports whether the failure speaks against the target.
func (r Result) faulty() bool {
	if !r.Failed {
		return false
	}
	switch r.Kind {
	case ffcall.KindUnknown, ffcall.KindUnreachable, ffcall.KindSilent, ffcall.KindTruncated, ffcall.KindCrossed, ffcall.KindNotReady:
		return true
	default:
		return false
	}
}

// timed reports whether the latency tells how fast the target answers.
func (r Result) timed() bool { return !r.Failed }

// bounded reports whether the latency is only a lower bound, since nobody waited longer.
func (r Result) bounded() bool {
	return r.Failed && (r.Kind == ffcall.KindCancelled || r.Kind == ffcall.KindSilent)
}
