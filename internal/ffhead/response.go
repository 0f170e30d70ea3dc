package ffhead

import (
	"net/http"

	"github.com/ansel1/merry/v2"
)

// CheckResponse returns an error if the head of a response is not valid. Interim statuses are
// valid but for 101, since no request asks for another protocol.
func CheckResponse(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols {
		return &Error{Op: "check a response", Kind: KindStatus, Err: merry.Errorf("%q", resp.Status)}
	}
	return CheckFields(resp.Header)
}

// IsDelimited reports whether a truncated body of a response is detected: the response gives
// its length, is chunked, has no body, or had one that was compressed.
func IsDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody || resp.Uncompressed
}
