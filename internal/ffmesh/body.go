package ffmesh

import (
	"bytes"
	"io"
	"net/http"

	"fireflyfall.dev/fireflyfall/internal/ffbody"
)

// MaxBufferedBody is the longest request body that is buffered, in bytes, so that a call
// that did not run can be sent to another target.
const MaxBufferedBody = 1 << 20

// ReadBody reads the body of r into memory. A body longer than MaxBufferedBody, or one of
// unknown length that reaches it, is returned as a stream of the whole body.
func ReadBody(r *http.Request) (body []byte, stream *ffbody.Stream, err error) {
	if r.ContentLength > MaxBufferedBody {
		return nil, ffbody.NewStream(r.Body), nil
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil, nil
	}
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
		if err == nil {
			// Only after the end of the body does the server detect that the client
			// disconnects.
			_, err = io.Copy(io.Discard, r.Body)
		}
		return body, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(r.Body, MaxBufferedBody))
	if err != nil || len(body) < MaxBufferedBody {
		return body, nil, err
	}
	return nil, ffbody.NewStream(io.MultiReader(bytes.NewReader(body), r.Body)), nil
}

// CopyHeader copies src to dst, the header of a response, and keeps the HTTP server
// from adding a Date or Content-Type that src does not have.
func CopyHeader(dst, src http.Header) {
	dst["Date"] = nil
	dst["Content-Type"] = nil
	for name, values := range src {
		dst[name] = values
	}
}
