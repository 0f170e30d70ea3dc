package ffhop

import (
	"io"
	"net/http"

	"fireflyfall.dev/fireflyfall/internal/ffhead"
)

// unframedBody is the body of a response that ends with its connection. It ends with io.EOF
// only if that was a regular end.
type unframedBody struct {
	io.ReadCloser
	e *Exchange
}

// checkEnd makes the body of a response without a length report a connection that failed.
func (e *Exchange) checkEnd(resp *http.Response) *http.Response {
	if !ffhead.IsDelimited(resp) {
		resp.Body = unframedBody{ReadCloser: resp.Body, e: e}
	}
	return resp
}

// Read implements io.Reader.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF || b.e.sender == nil {
		return n, err
	}
	if failure := b.e.sender.stop(); failure != nil {
		return n, &Error{Op: "receive", Kind: KindBroken, Err: failure}
	}
	return n, err
}
