package ffbody_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"

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
			r, err := s.Open(t.Context())
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

// TestAwaitBody guards against a body that is taken for begun although its sender sent none of
// it, and against one that is no more whole after the wait for it.
func TestAwaitBody(t *testing.T) {
	silent, w := io.Pipe()
	defer func() { _ = w.Close() }()
	ended, end := context.WithCancel(t.Context())
	end()
	for name, tc := range map[string]struct {
		ctx  context.Context
		body io.Reader
		want string
	}{
		"begun":    {t.Context(), io.MultiReader(strings.NewReader("a"), strings.NewReader("b")), "ab"},
		"silent":   {ended, silent, ""},
		"failed":   {t.Context(), iotest.ErrReader(io.ErrUnexpectedEOF), ""},
		"no bytes": {t.Context(), strings.NewReader(""), ""},
		"panic":    {t.Context(), nil, ""},
	} {
		s := ffbody.NewStream(tc.body)
		var failed *ffbody.Error
		if err := s.Await(tc.ctx); tc.want == "" && (!errors.As(err, &failed) || failed.Kind != ffbody.KindNotBegun) || tc.want != "" && err != nil {
			t.Errorf("%s: awaited with %v", name, err)
		}
		if s.Opened() {
			t.Errorf("%s: opened by the wait", name)
		}
		r, err := s.Open(tc.ctx)
		if tc.want == "" {
			if err == nil || !s.Opened() {
				t.Errorf("%s: opened without a byte", name)
			}
			continue
		}
		if b, err := io.ReadAll(r); err != nil || string(b) != tc.want {
			t.Errorf("%s: got %q, %v", name, b, err)
		}
	}
}
