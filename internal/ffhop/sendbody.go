package ffhop

import (
	"bytes"
	"io"
	"runtime/debug"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// streamBufferSize is the size of the buffer for streamed bodies, in bytes.
const streamBufferSize = 16 << 10

// lastChunk terminates a chunked body.
const lastChunk = "0\r\n\r\n"

func (e *Exchange) startBody(r *Request, stream io.Reader) {
	e.bodyResult = make(chan error, 1)
	e.sender = &sender{net: e.conn.net}
	go e.writeBody(r, stream)
}

// writeBody sends the body of a request, which is that of stream unless stream is nil. It
// closes the connection if the stream fails, but not if the sending does: the response may
// have come before that, and is still to be read.
func (e *Exchange) writeBody(r *Request, stream io.Reader) {
	if stream == nil {
		_, err := e.sender.Write(r.Body)
		e.bodyResult <- err
		return
	}
	err := e.sendStream(stream, r.Length)
	e.bodyResult <- err
	if err != nil && !e.sender.failed() {
		e.conn.Close()
	}
}

// sendStream sends a body of the given length, -1 if it is not known. An unexpected error of
// its reader is returned, with the stack, so that it ends this exchange alone.
func (e *Exchange) sendStream(body io.Reader, length int64) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = merry.Errorf("panic: %v\n%s", reason, debug.Stack())
		}
	}()
	if length < 0 {
		return writeChunked(e.sender, body)
	}
	n, err := io.CopyBuffer(e.sender, io.LimitReader(body, length), make([]byte, streamBufferSize))
	if err == nil && n < length {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// writeChunked sends r in chunked encoding. The last chunk is sent only if r was
// read to its end.
func writeChunked(w io.Writer, r io.Reader) error {
	buf := make([]byte, streamBufferSize)
	var out bytes.Buffer
	for {
		n, err := r.Read(buf)
		if n > 0 {
			out.Reset()
			out.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n")
			out.Write(buf[:n])
			out.WriteString("\r\n")
			if _, err := w.Write(out.Bytes()); err != nil {
				return err
			}
		}
		if err == io.EOF {
			_, err = io.WriteString(w, lastChunk)
			return err
		}
		if err != nil {
			return err
		}
	}
}

// bodySent reports whether the whole body was sent, and what made that fail, if it did. It
// is called once, at the end of the exchange.
func (e *Exchange) bodySent() (sent bool, err error) {
	if e.bodyResult == nil {
		return true, nil
	}
	select {
	case err := <-e.bodyResult:
		return err == nil, err
	default:
		return false, nil
	}
}
