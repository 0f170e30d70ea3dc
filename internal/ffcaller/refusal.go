package ffcaller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// statusOf returns the HTTP status for a kind of refusal.
func statusOf(k ffcall.Kind) int {
	switch k {
	case ffcall.KindUnauthenticated:
		return http.StatusUnauthorized
	case ffcall.KindForbidden:
		return http.StatusForbidden
	case ffcall.KindNoRoute:
		return http.StatusNotFound
	case ffcall.KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case ffcall.KindLimit:
		return http.StatusTooManyRequests
	case ffcall.KindToken:
		return http.StatusConflict
	case ffcall.KindDeadline:
		return http.StatusGatewayTimeout
	case ffcall.KindOverload, ffcall.KindLeaving, ffcall.KindNotReady, ffcall.KindVersion:
		return http.StatusServiceUnavailable
	case ffcall.KindMalformed:
		return http.StatusBadRequest
	default:
		return http.StatusBadGateway
	}
}

// refusal is the JSON body of an answer that was not sent by a target.
type refusal struct {
	CallID  string         `json:"callId,omitempty"`
	Outcome ffcall.Outcome `json:"outcome"`
	Reason  ffcall.Kind    `json:"reason"`
	Message string         `json:"message"`
}

// writeRefusal responds with the reason why a call got no answer from a target, and
// whether it ran.
func writeRefusal(w http.ResponseWriter, callID string, err error, now time.Time) {
	e := &ffcall.Error{}
	if !errors.As(err, &e) {
		e = &ffcall.Error{Op: "serve", Err: err}
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, e.Outcome.String())
	h.Set(headerReason, e.Kind.String())
	if !e.RetryAt.IsZero() {
		h.Set("Retry-After", retryAfter(e.RetryAt, now))
	}
	if e.Kind == ffcall.KindUnauthenticated {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(statusOf(e.Kind))
	_ = json.NewEncoder(w).Encode(refusal{CallID: callID, Outcome: e.Outcome, Reason: e.Kind, Message: e.Error()})
}

// retryAfter returns the whole seconds from now until at, rounded up.
func retryAfter(at, now time.Time) string {
	seconds := math.Ceil(at.Sub(now).Seconds())
	return strconv.Itoa(int(max(seconds, 0)))
}
