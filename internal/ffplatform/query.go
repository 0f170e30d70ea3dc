package ffplatform

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// revisionHeader carries the revision of an answer.
	revisionHeader = "Platform-Revision"
	// vmsPath is where the platform serves the list of VMs.
	vmsPath = "/v1/vms"
)

// valuePath returns where the platform serves the value under key.
func valuePath(key string) string { return "/v1/values/" + key }

// query is one question to the platform.
type query struct {
	op       string
	key      string
	path     string
	maxBytes int64
	// watch tells that the answer may wait until the revision differs from after.
	watch bool
	after uint64
	until time.Time
}

// deadline returns when an attempt that starts at now ends at the latest.
func (q query) deadline(now time.Time) time.Time {
	deadline := now.Add(attemptTimeout)
	if q.watch && q.until.After(now) {
		return q.until.Add(attemptTimeout)
	}
	return deadline
}

// unchanged reports whether a watch saw no change.
func (q query) unchanged(v Value) bool { return q.watch && v.Revision == q.after }

func (q query) fail(kind Kind, err error) *Error {
	return &Error{Op: q.op, Kind: kind, Key: q.key, Err: err}
}

// decode reads the answer to q.
func (q query) decode(resp *http.Response) (Value, *Error) {
	switch {
	case resp.StatusCode == http.StatusOK:
		return q.decodeValue(resp)
	case resp.StatusCode == http.StatusNotModified && q.watch:
		return Value{Revision: q.after}, nil
	case resp.StatusCode == http.StatusNotFound:
		return Value{}, q.fail(KindNotFound, merry.New("no such value"))
	case resp.StatusCode == http.StatusTooManyRequests:
		return Value{}, q.fail(KindRateLimited, merry.New("rate of the platform exceeded"))
	case resp.StatusCode >= http.StatusInternalServerError:
		return Value{}, q.fail(KindUnavailable, merry.Errorf("status %d", resp.StatusCode))
	default:
		return Value{}, q.fail(KindMalformed, merry.Errorf("status %d", resp.StatusCode))
	}
}

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
		return Value{}, q.fail(KindMismatch, merry.Errorf("answer with revision %d, which was not to be sent again", revision))
	}
	if err := checkContent(q.key, content); err != nil {
		return Value{}, q.fail(KindMismatch, err)
	}
	return value, nil
}

func (q query) readContent(resp *http.Response) ([]byte, *Error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, q.fail(KindMalformed, merry.New("the end of the answer is not marked"))
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, q.maxBytes+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, q.fail(KindUnavailable, merry.Prepend(err, "cut answer"))
	case err != nil:
		return nil, q.fail(KindUnavailable, err)
	case int64(len(content)) > q.maxBytes:
		return nil, q.fail(KindTooLarge, merry.Errorf("more than %d bytes", q.maxBytes))
	}
	return content, nil
}

// onceBody is an empty request body that cannot be sent again, which keeps
// net/http from repeating a request that the limiter granted once.
type onceBody struct{}

// Read returns the end of the body.
func (onceBody) Read([]byte) (int, error) { return 0, io.EOF }
