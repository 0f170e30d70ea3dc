package ffnode

import (
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/urfave/negroni/v3"

	"fireflyfall.dev/fireflyfall/internal/ffgossip"
)

// readyHandler serves the readiness check: whether clients may send new requests.
type readyHandler struct {
	state    *ffgossip.State
	draining atomic.Bool
}

// ServeHTTP responds with 200 if a configuration is active and the daemon is not
// draining, and with 503 otherwise.
func (h *readyHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if h.draining.Load() || h.state.Table() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// metricsHandler serves the metrics.
func metricsHandler(r *prometheus.Registry) http.Handler {
	n := negroni.New(negroni.NewRecovery())
	n.UseHandler(promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	return n
}
