// Package ffoperator provides the HTTP endpoint of a daemon for operators (health,
// readiness, metrics, status, members and the audit trail) and its client.
package ffoperator

import (
	"crypto/subtle"
	"encoding/json"
	"log"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/urfave/negroni/v3"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

const (
	headerTimeout  = 5 * time.Second
	requestTimeout = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	bearerPrefix   = "Bearer "
)

// Daemon provides the data for the status and members requests.
type Daemon interface {
	Status() Status
	Members() []ffmember.VM
}

// Trail provides the events of the audit trail, oldest first.
type Trail interface {
	Events() []ffaudit.Event
}

// Handler holds the data sources and the key of the operator endpoint.
type Handler struct {
	Daemon  Daemon
	Trail   Trail
	Metrics prometheus.Gatherer
	// Key is the bearer token required for all requests except health and
	// readiness. If empty, no token is required.
	Key string
}

// mux returns a multiplexer with the routes of the endpoint.
func (h *Handler) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", h.serveReady)
	mux.Handle("GET /metrics", h.withKey(promhttp.HandlerFor(h.Metrics, promhttp.HandlerOpts{})))
	mux.Handle("GET /v1/status", h.withKey(http.HandlerFunc(h.serveStatus)))
	mux.Handle("GET /v1/members", h.withKey(http.HandlerFunc(h.serveMembers)))
	mux.Handle("GET /v1/audit", h.withKey(http.HandlerFunc(h.serveAudit)))
	return mux
}

// withKey wraps next and, if h.Key is set, responds with status 401 to requests without it.
func (h *Handler) withKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		authorization := []byte(r.Header.Get("Authorization"))
		if h.Key != "" && subtle.ConstantTimeCompare(authorization, []byte(bearerPrefix+h.Key)) != 1 {
			http.Error(w, "the operator key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serveReady writes the status, with status code 503 unless the daemon is ready and not draining.
func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	s := h.Daemon.Status()
	w.Header().Set("Content-Type", "application/json")
	if !s.Ready || s.Draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	writeJSON(w, s)
}

func (h *Handler) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, h.Daemon.Status())
}

func (h *Handler) serveMembers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, h.Daemon.Members())
}

func (h *Handler) serveAudit(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Trail.Events()) }

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// NewServer returns an HTTP server for h that recovers from panics and logs to logger.
func NewServer(address string, h *Handler, logger zerolog.Logger) *http.Server {
	recovery := negroni.NewRecovery()
	recovery.PrintStack = false
	recovery.Logger = log.New(logger, "", 0)
	n := negroni.New(recovery)
	n.UseHandler(h.mux())
	return &http.Server{
		Addr:              address,
		Handler:           n,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(logger, "", 0),
	}
}
