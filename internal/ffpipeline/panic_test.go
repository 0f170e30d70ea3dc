package ffpipeline_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"fireflyfall.dev/fireflyfall/internal/ffpipeline"
)

// panicHandler fails unexpectedly on requests under /panic/, after it wrote a part of the
// response, and answers all others as handler does.
type panicHandler struct{ handler }

func (h *panicHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/panic/") {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("part"))
		panic("unexpected")
	}
	h.handler.ServeHTTP(w, r)
}

// TestPanicEndsNeighbours guards against an unexpected error in one request that ends the
// connection with all other requests on it.
func TestPanicEndsNeighbours(t *testing.T) {
	c := dial(t, serve(t, &ffpipeline.Server{Handler: &panicHandler{}, MayRunAhead: aheadAll}))
	send(t, c, get("/slow/1")+get("/panic/2")+get("/slow/3"))
	r := bufio.NewReader(c)
	for n, want := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusOK} {
		if status, body, last := receive(t, r); status != want || last || want != http.StatusOK && body != "" {
			t.Errorf("response %d is %d %q, last %v", n, status, body, last)
		}
	}
}
