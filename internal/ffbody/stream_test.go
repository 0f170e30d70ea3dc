package ffbody_test

import (
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"fireflyfall.dev/fireflyfall/internal/ffbody"
)

// TestOpenOnce guards against a body of which two receivers get a part each.
func TestOpenOnce(t *testing.T) {
	const receivers, body = 8, "whole body"
	s := ffbody.NewStream(strings.NewReader(body))
	if s.Opened() {
		t.Error("opened from the start")
	}
	var whole atomic.Int64
	var wg sync.WaitGroup
	for range receivers {
		wg.Go(func() {
			r, err := s.Open()
			var failed *ffbody.Error
			if errors.As(err, &failed) && failed.Kind == ffbody.KindOpened {
				return
			}
			if b, err := io.ReadAll(r); err != nil || string(b) != body {
				t.Errorf("got %q, %v", b, err)
			}
			whole.Add(1)
		})
	}
	wg.Wait()
	if n := whole.Load(); n != 1 || !s.Opened() {
		t.Errorf("%d receivers got the body, opened %v", n, s.Opened())
	}
}
