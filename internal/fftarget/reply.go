package fftarget

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffhead"
)

// readBody returns the complete body of a response, or the kind of the error.
func (c *Client) readBody(resp *http.Response) ([]byte, ffcall.Kind, error) {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, ffcall.KindUnknown, merry.New("the target switched protocols")
	}
	if !ffhead.IsDelimited(resp) {
		return nil, ffcall.KindTruncated, merry.New("the response body is not delimited")
	}
	content, err := c.readLimited(io.LimitReader(resp.Body, c.settings.MaxReplyBytes+1))
	switch {
	case errors.Is(err, errReplyMemory):
		return nil, ffcall.KindTooLarge, err
	case err != nil:
		return nil, ffcall.KindTruncated, err
	case int64(len(content)) > c.settings.MaxReplyBytes:
		return nil, ffcall.KindTooLarge, merry.Errorf("the response body exceeds %d bytes", c.settings.MaxReplyBytes)
	}
	return content, ffcall.KindUnknown, nil
}

// replyPart is the part of a response body, in bytes, for which memory is reserved at once.
// The first one of each body needs no reservation.
const replyPart = 64 << 10

var errReplyMemory = merry.New("the response bodies that are being read take all memory for them")

// readLimited reads body to its end. It fails with errReplyMemory if all bodies that are
// being read would take more than MaxReplyMemory.
func (c *Client) readLimited(body io.Reader) ([]byte, error) {
	var content bytes.Buffer
	var reserved int64
	defer func() { c.replyMemory.Release(reserved) }()
	for {
		_, err := io.CopyN(&content, body, replyPart)
		switch {
		case errors.Is(err, io.EOF):
			return content.Bytes(), nil
		case err != nil:
			return nil, err
		case !c.replyMemory.TryAcquire(replyPart):
			return nil, errReplyMemory
		}
		reserved += replyPart
	}
}

// shedError returns the error for a call that the target did not run.
func shedError(resp *http.Response) *ffcall.Error {
	failure := ffcall.Refuse("call target", ffcall.KindOverload, merry.New("the target shed the call"))
	if seconds, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 31); err == nil {
		failure.RetryAt = time.Now().Add(time.Duration(seconds) * time.Second)
	}
	return failure
}
