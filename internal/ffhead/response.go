package ffhead

import (
	"net/http"

	"github.com/ansel1/merry/v2"
)

// CheckResponse returns an error if the head of a response is not valid. Interim responses
// are.
func CheckResponse(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue {
		return &Error{Op: "check a response", Kind: KindStatus, Err: merry.Errorf("%q", resp.Status)}
	}
	return nil
}
