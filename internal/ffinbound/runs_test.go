package ffinbound

import (
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// TestRetryShare guards against calls of retried runs that are taken for new requests, and
// against requests of clients that are taken for such calls.
func TestRetryShare(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	run := func(kind ffroute.Kind, deadlineMs int, share float64) *ffmesh.Call {
		return &ffmesh.Call{Kind: kind, Deadline: at(deadlineMs), RetryShare: share}
	}
	first, retry := run(ffroute.KindSafe, 800, 0), run(ffroute.KindSafe, 500, 1)
	unsafe, ofRetry := run(ffroute.KindUnsafe, 900, 0), run(ffroute.KindSafe, 700, 0.5)
	for name, tc := range map[string]struct {
		calls      []*ffmesh.Call
		deadlineMs int
		want       float64
	}{
		"no run":                            {nil, 200, 0},
		"only first runs":                   {[]*ffmesh.Call{first, unsafe}, 200, 0},
		"only a retry":                      {[]*ffmesh.Call{retry}, 200, 1},
		"a retry of two":                    {[]*ffmesh.Call{first, retry}, 200, 0.5},
		"a retry beside another kind":       {[]*ffmesh.Call{retry, unsafe, unsafe}, 200, 1},
		"later than the retry's deadline":   {[]*ffmesh.Call{first, retry}, 600, 0},
		"read just after the retry's":       {[]*ffmesh.Call{retry}, 530, 1},
		"run of a call that may be a retry": {[]*ffmesh.Call{ofRetry}, 200, 0.5},
	} {
		var r runs
		for _, c := range tc.calls {
			r.add(c)
		}
		if got := r.retryShare(at(tc.deadlineMs)); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
		for _, c := range tc.calls {
			r.remove(c)
		}
		if len(r.calls) != 0 {
			t.Errorf("%s: %d calls are left", name, len(r.calls))
		}
	}
}
