package ffhop

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffbody"
)

// panickingReader is a body that fails unexpectedly after its first byte.
type panickingReader struct{ read bool }

func (r *panickingReader) Read(p []byte) (int, error) {
	if r.read {
		panic("unexpected")
	}
	r.read = true
	return copy(p, "a"), nil
}

// TestPanicInBody guards against an unexpected error while a body is sent, which ends the
// process with all other requests, and against a body that seems complete after it.
func TestPanicInBody(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan error, 1)
	s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		received <- err
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	for _, length := range []int64{-1, 100} {
		pool := &Pool{Address: l.Addr().String(), Dialer: NewDialer(time.Second), MaxIdle: 1}
		conn, err := pool.Get(t.Context(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		e, err := conn.Start(t.Context(), &Request{Method: http.MethodPut, URI: "/", Host: "h", Header: http.Header{}, Stream: ffbody.NewStream(&panickingReader{}), Length: length})
		if err == nil {
			_, err = e.Receive()
		}
		var failed *Error
		if !errors.As(err, &failed) || failed.Kind != KindBroken {
			t.Errorf("length %d: the exchange ended with %v", length, err)
		}
		if err := <-received; err == nil {
			t.Errorf("length %d: the peer got a complete body", length)
		}
	}
}
