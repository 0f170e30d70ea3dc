package ffclient_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

// TestEndlessAnswer guards against an answer without end that fills the caller's memory. It
// must end the call at once, and not as one that did not run.
func TestEndlessAnswer(t *testing.T) {
	const wait = 5 * time.Second
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Fireflyfall-Outcome", "ran")
		part := make([]byte, 1<<10)
		for err := error(nil); err == nil; {
			_, err = w.Write(part)
		}
	}))
	defer server.Close()
	c := &ffclient.Client{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}, MaxAnswerBytes: 1 << 20}
	ctx, cancel := context.WithTimeout(t.Context(), wait)
	defer cancel()
	_, err := c.Do(ctx, ffclient.Request{Method: http.MethodGet, Path: "/x"})
	var failed *ffclient.Error
	if !errors.As(err, &failed) || failed.Outcome != ffclient.OutcomeUnknown {
		t.Errorf("the call ended with %v", err)
	}
	if ctx.Err() != nil {
		t.Errorf("the call ended after %v", wait)
	}
}
