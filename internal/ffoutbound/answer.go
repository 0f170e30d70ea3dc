package ffoutbound

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

const (
	// answersLogged is the number of answered requests of which one is logged.
	answersLogged = 64
	// minRetry and maxRetry bound the time after which a client may come back.
	minRetry = 30 * time.Millisecond
	maxRetry = 2 * time.Second
)

// finish answers a request whose run is over.
func (h *Handler) finish(w http.ResponseWriter, r *run) {
	elapsed := time.Since(r.call.Received)
	if r.answer != nil {
		h.Metrics.Done(r.route.Kind, "answered", elapsed)
		h.logAnswer(r, elapsed)
		h.pass(w, r.answer)
		return
	}
	status, reason := r.failure()
	h.Metrics.Done(r.route.Kind, reason, elapsed)
	var retryIn time.Duration
	if status == http.StatusServiceUnavailable {
		retryIn = min(max(r.retryIn, minRetry), maxRetry)
	}
	h.Log.Warn().Str("request", r.call.ID).Str("route", r.route.Name).Stringer("kind", r.route.Kind).
		Int("status", status).Str("reason", reason).Int("offers", r.offers).Int("arrivals", r.arrivals).
		Str("target", r.choice.Target.ID).Stringer("peer", r.choice.Target.VM()).Bool("hedged", r.hedged).
		Dur("cost", r.choice.Cost).Dur("factAge", r.choice.Age).Int("candidates", r.choice.Candidates).
		Dur("elapsed", elapsed).Dur("retryIn", retryIn).Msg("request failed")
	h.write(w, status, retryIn)
}

// logAnswer logs one in many of the requests that were answered.
func (h *Handler) logAnswer(r *run, elapsed time.Duration) {
	if h.answers.Add(1)%answersLogged != 0 {
		return
	}
	h.Log.Info().Str("request", r.call.ID).Str("route", r.route.Name).Uint64("version", r.table.Version).
		Str("target", r.choice.Target.ID).Dur("cost", r.choice.Cost).Dur("factAge", r.choice.Age).
		Int("status", r.answer.Status).Int("offers", r.offers).Dur("elapsed", elapsed).Msg("request answered")
}

// failure returns the status and the reason of a request without an answer.
func (r *run) failure() (status int, reason string) {
	expired := !time.Now().Before(r.call.Deadline)
	switch {
	case r.maybe && expired:
		return http.StatusGatewayTimeout, "timeout"
	case r.maybe:
		return http.StatusBadGateway, "lost"
	case r.reply != nil:
		return http.StatusServiceUnavailable, r.reply.Reason.String()
	}
	return http.StatusServiceUnavailable, ffmesh.ReasonNoTarget.String()
}

// pass sends a target's answer on unchanged.
func (h *Handler) pass(w http.ResponseWriter, r *ffmesh.Reply) {
	ffmesh.CopyHeader(w.Header(), r.Header)
	h.last(w)
	if r.Stream == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
		w.WriteHeader(r.Status)
		_, _ = w.Write(r.Body)
		return
	}
	defer func() { _ = r.Stream.Close() }()
	w.WriteHeader(r.Status)
	if _, err := w.Write(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(w, r.Stream); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// last announces the end of the connection while the daemon is leaving.
func (h *Handler) last(w http.ResponseWriter) {
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
}

// refuse answers a request that was sent nowhere.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, status int, reason string, retryIn time.Duration) {
	id, _ := h.Dialect.Attempt(r.Header)
	h.Metrics.Refused(reason)
	h.Log.Warn().Str("request", id).Int("status", status).Str("reason", reason).Dur("retryIn", retryIn).Msg("request refused")
	h.write(w, status, retryIn)
}

func (h *Handler) write(w http.ResponseWriter, status int, retryIn time.Duration) {
	h.last(w)
	if retryIn > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryIn.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}
