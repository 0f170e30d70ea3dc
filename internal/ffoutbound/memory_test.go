package ffoutbound_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffoutbound"
)

// TestNoneAcceptedWhileResponsesAreUnread guards against a daemon that runs out of memory
// because clients do not read: it offers no further request to any target.
func TestNoneAcceptedWhileResponsesAreUnread(t *testing.T) {
	h := &ffoutbound.Handler{
		Config: oneRoute{}, Dialect: plainDialect{}, Origin: func() string { return "s" },
		Memory: ffmesh.NewMemory(ffmesh.MaxBufferedBody),
	}
	read := h.Memory.Hold(2 * ffmesh.MaxBufferedBody)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h/x", http.NoBody))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
	if read(); h.Memory.Overdrawn() {
		t.Error("the memory of responses that were read is not free")
	}
}
