package ffhop

import (
	"context"
	"errors"
	"io"
	"net"
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
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			pool := &Pool{Address: l.Addr().String(), Dialer: NewDialer(time.Second), MaxIdle: 1}
			conn, err := pool.Get(t.Context(), time.Second)
			if err != nil {
				t.Fatal(err)
			}
			peer, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = peer.Close() }()
			body, w := io.Pipe()
			t.Cleanup(func() { _ = w.Close() })
			end(w)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err = conn.Start(ctx, &Request{Method: http.MethodPut, URI: "/", Host: "h", Header: http.Header{}, Stream: ffbody.NewStream(body), Length: 1})
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
