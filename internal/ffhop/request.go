package ffhop

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffbody"
)

// maxInlineBody is the longest body that is written at once, in bytes.
const maxInlineBody = 16 << 10

// Request is an outgoing HTTP request.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Stream replaces Body when it is set; Length is its length in bytes, or -1 if
	// unknown.
	Stream *ffbody.Stream
	Length int64
	// ContinueTimeout bounds the wait for "100 Continue". When it is set, the body is sent
	// only after that response, so that a peer that has not asked for the body
	// cannot run the request.
	ContinueTimeout time.Duration
	// FirstByteTimeout bounds the wait for the first byte of a response, usually an interim one,
	// which shows that the peer has received the request. After that time OnFirstByteTimeout is
	// called, and the exchange continues.
	FirstByteTimeout   time.Duration
	OnFirstByteTimeout func()
}

// openStream waits until a streamed body has begun and returns its reader, or nil if the body
// is in memory.
func (r *Request) openStream(ctx context.Context) (io.Reader, error) {
	if r.Stream == nil {
		return nil, nil
	}
	return r.Stream.Open(ctx)
}

func (r *Request) encodeHead() *bytes.Buffer {
	var b bytes.Buffer
	b.Grow(maxInlineBody / 16)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.WriteSubset(&b, nil)
	if r.ContinueTimeout > 0 {
		b.WriteString("Expect: 100-continue\r\n")
	}
	switch {
	case r.Stream != nil && r.Length < 0, r.ContinueTimeout > 0 && r.Stream == nil && len(r.Body) == 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Stream != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return &b
}
