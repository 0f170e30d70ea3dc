package ffmesh

import (
	"bytes"
	"io"
	"net/http"
)

// HeldBody is the longest request body that is held whole, in bytes, so that a
// call that did not run can go to another target.
const HeldBody = 1 << 20

// ReadBody reads the body of r. One that is longer than HeldBody comes back as a
// stream that begins with what was read.
func ReadBody(r *http.Request) (body []byte, stream io.Reader, err error) {
	if r.ContentLength > HeldBody {
		return nil, r.Body, nil
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil, nil
	}
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
		if err == nil {
			// Reaching the end lets the server notice that the client leaves.
			_, err = io.Copy(io.Discard, r.Body)
		}
		return body, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(r.Body, HeldBody))
	if err != nil || len(body) < HeldBody {
		return body, nil, err
	}
	return nil, io.MultiReader(bytes.NewReader(body), r.Body), nil
}

// CopyHeader makes dst, the header of an answer, hold just what src holds, so
// that the HTTP server adds nothing of its own.
func CopyHeader(dst, src http.Header) {
	dst["Date"] = nil
	dst["Content-Type"] = nil
	for name, values := range src {
		dst[name] = values
	}
}
