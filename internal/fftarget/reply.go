package fftarget

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// readBody returns the complete body of a response, or the kind of the error.
func (c *Client) readBody(resp *http.Response) ([]byte, ffcall.Kind, error) {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, ffcall.KindUnknown, merry.New("the target switched protocols")
	}
	if !isDelimited(resp) {
		return nil, ffcall.KindTruncated, merry.New("the response body is not delimited")
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, c.settings.MaxReplyBytes+1))
	switch {
	case err != nil:
		return nil, ffcall.KindTruncated, err
	case int64(len(content)) > c.settings.MaxReplyBytes:
		return nil, ffcall.KindTooLarge, merry.Errorf("the response body exceeds %d bytes", c.settings.MaxReplyBytes)
	}
	return content, ffcall.KindUnknown, nil
}

// isDelimited reports whether a truncated body can be detected: the response gives
// its length, is chunked or has no body.
func isDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// shedError returns the error for a call that the target did not run.
func shedError(resp *http.Response) *ffcall.Error {
	failure := ffcall.Refuse("call target", ffcall.KindOverload, merry.New("the target shed the call"))
	if seconds, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 31); err == nil {
		failure.RetryAt = time.Now().Add(time.Duration(seconds) * time.Second)
	}
	return failure
}
