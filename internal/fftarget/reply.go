package fftarget

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// readBody returns the whole body of an answer, or the kind of failure.
func (c *Client) readBody(resp *http.Response) ([]byte, ffcall.Kind, error) {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, ffcall.KindUnknown, merry.New("the target changed the protocol")
	}
	if !endMarked(resp) {
		return nil, ffcall.KindTruncated, merry.New("the end of the answer is not marked")
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, c.settings.MaxReplyBytes+1))
	switch {
	case err != nil:
		return nil, ffcall.KindTruncated, err
	case int64(len(content)) > c.settings.MaxReplyBytes:
		return nil, ffcall.KindTooLarge, merry.Errorf("answer of more than %d bytes", c.settings.MaxReplyBytes)
	}
	return content, ffcall.KindUnknown, nil
}

// endMarked reports whether a cut body can be told from a whole one.
func endMarked(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// shedError returns the error for a call that the target did not run.
func shedError(resp *http.Response) *ffcall.Error {
	failure := ffcall.Refuse("call target", ffcall.KindOverload, merry.New("shed by the target"))
	if seconds, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 31); err == nil {
		failure.RetryAt = time.Now().Add(time.Duration(seconds) * time.Second)
	}
	return failure
}
