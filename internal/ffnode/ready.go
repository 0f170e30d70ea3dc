package ffnode

import (
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/urfave/negroni/v3"

	"fireflyfall.dev/fireflyfall/internal/ffgossip"
)

// ready answers whether clients may send new requests.
type ready struct {
	state   *ffgossip.State
	leaving atomic.Bool
}

// ServeHTTP answers 200 while a configuration is in force and the daemon stays.
func (h *ready) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if h.leaving.Load() || h.state.Table() == nil {
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
