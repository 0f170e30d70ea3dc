package ffstand

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Headers between a daemon and its target.
const (
	callIDHeader    = "Fireflyfall-Call-Id"
	customerHeader  = "Fireflyfall-Customer"
	remainingHeader = "Fireflyfall-Remaining-Millis"
	outcomeHeader   = "Fireflyfall-Outcome"
)

// Headers with which a test controls the execution of a call.
const (
	workHeader        = "Stand-Work-Millis"
	answerBytesHeader = "Stand-Answer-Bytes"
	crashHeader       = "Stand-Crash"
)

// maxAnswerBytes is the maximum size of the padding that a test can request.
const maxAnswerBytes = 64 << 20

// targetCall holds what the path and the headers of a call request.
type targetCall struct {
	work         time.Duration
	paddingBytes int
	crash        CrashKind
	// deadline is zero when the call has none.
	deadline time.Time
}

func (t *Target) parseCall(r *http.Request, now time.Time) (targetCall, error) {
	call := targetCall{work: t.workOf(r.URL.Path)}
	if work, ok, err := numberHeader(r, workHeader); err != nil {
		return call, err
	} else if ok {
		call.work = time.Duration(work) * time.Millisecond
	}
	if remaining, ok, err := numberHeader(r, remainingHeader); err != nil {
		return call, err
	} else if ok {
		call.deadline = now.Add(time.Duration(remaining) * time.Millisecond)
	}
	padding, _, err := numberHeader(r, answerBytesHeader)
	if err != nil {
		return call, err
	}
	call.paddingBytes = int(min(padding, maxAnswerBytes))
	if err := call.crash.UnmarshalText([]byte(r.Header.Get(crashHeader))); err != nil {
		return call, &Error{Op: "parse call", Kind: KindInvalid, Err: err}
	}
	return call, nil
}

// numberHeader returns the number in a header and whether the header is present.
func numberHeader(r *http.Request, name string) (int64, bool, error) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, false, nil
	}
	number, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, false, &Error{Op: "parse call", Kind: KindInvalid, Err: merry.Prepend(err, name)}
	}
	return int64(number), true, nil
}

// workOf returns the configured service time of a path.
func (t *Target) workOf(path string) time.Duration {
	work, longest := t.settings.ServiceTime, -1
	for prefix, d := range t.settings.ServiceTimeByPath {
		if strings.HasPrefix(path, prefix) && len(prefix) > longest {
			work, longest = d, len(prefix)
		}
	}
	return work
}

// serviceTime returns the service time of a call that starts at now, including a
// slowdown and the cold start.
func (t *Target) serviceTime(call targetCall, now time.Time) time.Duration {
	work := call.work
	if factor := t.State().SlowFactor; factor > 0 {
		work = time.Duration(float64(work) * factor)
	}
	if now.Before(t.settings.ColdUntil) {
		work += t.settings.ColdExtraTime
	}
	return work
}
