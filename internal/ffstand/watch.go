package ffstand

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// watch holds the parameters of a request that waits for a revision other than
// after, for at most wait; set is false for a plain read.
type watch struct {
	set   bool
	after uint64
	wait  time.Duration
}

func parseWatch(query url.Values) (watch, error) {
	if !query.Has("after") {
		return watch{}, nil
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return watch{}, &Error{Op: "watch", Kind: KindInvalid, Err: merry.Prepend(err, "after")}
	}
	millis, err := strconv.ParseUint(query.Get("waitMillis"), 10, 31)
	if err != nil {
		return watch{}, &Error{Op: "watch", Kind: KindInvalid, Err: merry.Prepend(err, "waitMillis")}
	}
	wait := min(time.Duration(millis)*time.Millisecond, maxWait)
	return watch{set: true, after: after, wait: wait}, nil
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
