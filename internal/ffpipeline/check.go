package ffpipeline

import (
	"errors"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffhead"
)

// expectContinue is the only supported value of the Expect header.
const expectContinue = "100-continue"

// check rejects invalid requests that http.ReadRequest accepts.
func check(r *http.Request) error {
	reject := func(kind Kind, why string) error {
		return &Error{Op: "check a request", Kind: kind, Err: merry.New(why)}
	}
	if r.ProtoMajor != 1 {
		return reject(KindVersion, r.Proto)
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		return reject(KindMalformed, "no host")
	}
	if expect := r.Header.Get("Expect"); expect != "" && !strings.EqualFold(expect, expectContinue) {
		return reject(KindExpect, expect)
	}
	if err := ffhead.CheckFields(r.Header); err != nil {
		return &Error{Op: "check a request", Kind: KindMalformed, Err: err}
	}
	return nil
}

// statusOf returns the status code for a request that could not be read, or 0 if
// the client has disconnected.
func statusOf(err error) int {
	var failed *Error
	if !errors.As(err, &failed) {
		return http.StatusBadRequest
	}
	switch failed.Kind {
	case KindTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case KindVersion:
		return http.StatusHTTPVersionNotSupported
	case KindExpect:
		return http.StatusExpectationFailed
	case KindClosed:
		return 0
	}
	return http.StatusBadRequest
}
