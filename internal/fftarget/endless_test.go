package fftarget_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/fftarget"
)

// TestEndlessRepliesTogether guards against bodies without end, each within the limit for
// one, that fill the memory together. Those that do not fit end at once, the others at
// their deadline, none as "not run", and the next call is answered.
func TestEndlessRepliesTogether(t *testing.T) {
	const (
		calls  = 16
		sent   = 1 << 20
		fit    = 4
		memory = fit * sent
		wait   = time.Second
	)
	var endless atomic.Bool
	endless.Store(true)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !endless.Load() {
			return
		}
		_, _ = w.Write(make([]byte, sent))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	client := connect(t, fftarget.Settings{Address: server.Listener.Addr().String(), MaxReplyMemory: memory})
	ctx, cancel := context.WithTimeout(t.Context(), wait)
	defer cancel()
	var atOnce atomic.Int64
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			started := time.Now()
			_, err := client.Do(ctx, newCall("a", "", ""))
			if err == nil || ffcall.OutcomeOf(err) == ffcall.OutcomeNotRun {
				t.Errorf("ended with %v", err)
			}
			if time.Since(started) < wait/2 {
				atOnce.Add(1)
			}
		})
	}
	group.Wait()
	if n := atOnce.Load(); n < calls-fit {
		t.Errorf("%d of %d calls ended at once, want %d", n, calls, calls-fit)
	}
	endless.Store(false)
	if _, err := client.Do(t.Context(), newCall("b", "", "")); err != nil {
		t.Errorf("the next call: %v", err)
	}
}
