package ffhop

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffbody"
)

// TestHeadBeforeBody guards against a peer that runs a request whose sender gave up before it
// sent any byte of the body: the head alone must not reach the peer.
func TestHeadBeforeBody(t *testing.T) {
	for name, end := range map[string]func(*io.PipeWriter){
		"silent": func(*io.PipeWriter) {},
		"failed": func(w *io.PipeWriter) { _ = w.CloseWithError(io.ErrUnexpectedEOF) },
	} {
		t.Run(name, func(t *testing.T) {
			conn, peer := connect(t)
			body, w := io.Pipe()
			t.Cleanup(func() { _ = w.Close() })
			end(w)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := conn.Start(ctx, &Request{Method: http.MethodPut, URI: "/", Host: "h", Header: http.Header{}, Stream: ffbody.NewStream(body), Length: 1})
			var failed *Error
			if !errors.As(err, &failed) || failed.Kind != KindUnsent {
				t.Errorf("the exchange began, or failed with %v", err)
			}
			conn.Close()
			if n, _ := io.Copy(io.Discard, peer); n > 0 {
				t.Errorf("the peer got %d bytes", n)
			}
		})
	}
}
