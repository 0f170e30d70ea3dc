package ffplatform

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffhead"
)

const (
	// revisionHeader is the response header with the revision.
	revisionHeader = "Platform-Revision"
	// vmsPath is the URL path of the list of VMs.
	vmsPath = "/v1/vms"
)

// valuePath returns the URL path of the value under key.
func valuePath(key string) string { return "/v1/values/" + key }

// query is one request to the platform, a read or a watch.
type query struct {
	op       string
	key      string
	path     string
	maxBytes int64
	// watch makes the platform hold the response until the revision differs from
	// after, at most until the given time.
	watch bool
	after uint64
	until time.Time
}

// deadline returns the deadline of an attempt that starts at now.
func (q query) deadline(now time.Time) time.Time {
	deadline := now.Add(attemptTimeout)
	if q.watch && q.until.After(now) {
		return q.until.Add(attemptTimeout)
	}
	return deadline
}

// unchanged reports whether v is the result of a watch without a change.
func (q query) unchanged(v Value) bool { return q.watch && v.Revision == q.after }

func (q query) fail(kind Kind, err error) *Error {
	return &Error{Op: q.op, Kind: kind, Key: q.key, Err: err}
}

// decode returns the value of a response to q, or the error for its head.
func (q query) decode(resp *http.Response) (Value, *Error) {
	if err := ffhead.CheckResponse(resp); err != nil {
		return Value{}, q.fail(KindMalformed, err)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return q.decodeValue(resp)
	case resp.StatusCode == http.StatusNotModified && q.watch:
		return Value{Revision: q.after}, nil
	case resp.StatusCode == http.StatusNotFound:
		return Value{}, q.fail(KindNotFound, merry.New("no such value"))
	case resp.StatusCode == http.StatusTooManyRequests:
		return Value{}, q.fail(KindRateLimited, merry.New("platform rate limit exceeded"))
	case resp.StatusCode >= http.StatusInternalServerError:
		return Value{}, q.fail(KindUnavailable, merry.Errorf("status %d", resp.StatusCode))
	default:
		return Value{}, q.fail(KindMalformed, merry.Errorf("status %d", resp.StatusCode))
	}
}

// decodeValue returns the revision and the checked content of a successful response.
func (q query) decodeValue(resp *http.Response) (Value, *Error) {
	revision, err := strconv.ParseUint(resp.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return Value{}, q.fail(KindMalformed, merry.Prepend(err, revisionHeader))
	}
	content, failure := q.readContent(resp)
	if failure != nil {
		return Value{}, failure
	}
	value := Value{Revision: revision, Content: content}
	if q.unchanged(value) {
		return Value{}, q.fail(KindMismatch, merry.Errorf("unchanged revision %d in response to a watch", revision))
	}
	if err := checkContent(q.key, content); err != nil {
		return Value{}, q.fail(KindMismatch, err)
	}
	return value, nil
}

// readContent reads the body. The body must be delimited, since otherwise a
// truncated one would look complete.
func (q query) readContent(resp *http.Response) ([]byte, *Error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, q.fail(KindMalformed, merry.New("response has neither a content length nor chunked encoding"))
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, q.maxBytes+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, q.fail(KindUnavailable, merry.Prepend(err, "truncated response"))
	case err != nil:
		return nil, q.fail(KindUnavailable, err)
	case int64(len(content)) > q.maxBytes:
		return nil, q.fail(KindTooLarge, merry.Errorf("more than %d bytes", q.maxBytes))
	}
	return content, nil
}

// nonReplayableBody is an empty request body that cannot be sent again. It keeps
// net/http from retrying a request, as the limiter has granted only one.
type nonReplayableBody struct{}

// Read returns io.EOF.
func (nonReplayableBody) Read([]byte) (int, error) { return 0, io.EOF }
