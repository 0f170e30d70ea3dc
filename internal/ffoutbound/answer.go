package ffoutbound

import (
	"net/http"
	"strconv"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

const (
	// responseLogInterval is the number of answered requests of which one is logged.
	responseLogInterval = 64
	// minRetryIn and maxRetryIn bound the Retry-After of a response with status 503.
	minRetryIn = 30 * time.Millisecond
	maxRetryIn = 2 * time.Second
)

// respond answers, counts and logs a request whose run has ended.
func (h *Handler) respond(w http.ResponseWriter, r *run) {
	elapsed := time.Since(r.call.Received)
	if r.response != nil && h.writeResponse(w, r) {
		h.Metrics.Done(r.route.Kind, "answered", elapsed)
		h.logResponse(r, elapsed)
		return
	}
	status, reason := r.failure()
	h.Metrics.Done(r.route.Kind, reason, elapsed)
	var retryIn time.Duration
	if status == http.StatusServiceUnavailable {
		retryIn = min(max(r.retryIn, minRetryIn), maxRetryIn)
	}
	h.Log.Warn().Str("request", r.call.ID).Str("route", r.route.Name).Stringer("kind", r.route.Kind).
		Int("status", status).Str("reason", reason).Int("offers", r.offers).Int("arrivals", r.arrivals).
		Str("target", r.choice.Target.ID).Stringer("peer", r.choice.Target.VM()).Bool("hedged", r.hedged).
		Dur("cost", r.choice.Cost).Dur("factAge", r.choice.LoadAge).Int("candidates", r.choice.Candidates).
		Dur("elapsed", elapsed).Dur("retryIn", retryIn).Msg("request failed")
	h.writeStatus(w, status, retryIn)
}

// logResponse logs one in responseLogInterval of the answered requests.
func (h *Handler) logResponse(r *run, elapsed time.Duration) {
	if h.responses.Add(1)%responseLogInterval != 0 {
		return
	}
	h.Log.Info().Str("request", r.call.ID).Str("route", r.route.Name).Uint64("version", r.table.Version).
		Str("target", r.choice.Target.ID).Dur("cost", r.choice.Cost).Dur("factAge", r.choice.LoadAge).
		Int("status", r.response.Status).Int("offers", r.offers).Dur("elapsed", elapsed).Msg("request answered")
}

// failure returns the status and the reason for a request that no target answered.
func (r *run) failure() (status int, reason string) {
	expired := !time.Now().Before(r.call.Deadline)
	switch {
	case r.mayHaveRun && expired:
		return http.StatusGatewayTimeout, "timeout"
	case r.mayHaveRun:
		return http.StatusBadGateway, "lost"
	case r.reply != nil:
		return http.StatusServiceUnavailable, r.reply.Reason.String()
	}
	return http.StatusServiceUnavailable, ffmesh.ReasonNoTarget.String()
}

// resetter is a response writer that can discard what was written of a response, and
// reports whether nothing of it was sent, so that another one can be written.
type resetter interface{ Reset() bool }

// writeResponse sends the target's response to the client unchanged. If a long body ends
// early it reports false when nothing of the response was sent, and aborts the connection
// otherwise.
func (h *Handler) writeResponse(w http.ResponseWriter, r *run) bool {
	ffmesh.CopyHeader(w.Header(), r.response.Header)
	h.setConnectionClose(w)
	r.response.SetContentLength(w.Header())
	w.WriteHeader(r.response.Status)
	err := r.response.CopyBody(w)
	if err == nil || r.response.Stream == nil {
		return true
	}
	if unsent, ok := w.(resetter); !ok || !unsent.Reset() {
		panic(http.ErrAbortHandler)
	}
	h.Log.Info().Str("request", r.call.ID).Err(err).Msg("response of the target is incomplete")
	r.mayHaveRun = true
	return false
}

// setConnectionClose announces the end of the connection while the daemon is leaving.
func (h *Handler) setConnectionClose(w http.ResponseWriter) {
	if _, stopping := h.stopping(); stopping {
		w.Header().Set("Connection", "close")
	}
}

// refuse answers a request before its body was read whole. Without a positive retryIn
// the response has no Retry-After.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, status int, reason string, retryIn time.Duration) {
	id, _ := h.Dialect.Attempt(r.Header)
	h.Metrics.Refused(reason)
	h.Log.Warn().Str("request", id).Int("status", status).Str("reason", reason).Dur("retryIn", retryIn).Msg("request refused")
	h.writeStatus(w, status, retryIn)
}

func (h *Handler) writeStatus(w http.ResponseWriter, status int, retryIn time.Duration) {
	h.setConnectionClose(w)
	if retryIn > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryIn.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}
