package ffmeshpeer

import (
	"math"
	"net/http"
	"strconv"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// setOptional sets the headers of the numbers of a call that are often 0, and removes
// those that a client may have sent.
func setOptional(h http.Header, c *ffmesh.Call) {
	setNumber(h, limitHeader, c.TargetLimit)
	setNumber(h, retryShareHeader, c.RetryShare)
}

// setNumber sets a header to a positive number, and removes it otherwise.
func setNumber(h http.Header, name string, value float64) {
	h.Del(name)
	if value > 0 {
		h.Set(name, strconv.FormatFloat(value, 'g', -1, 64))
	}
}

// takeOptional moves the numbers that setOptional has set from the header of a call to its
// fields.
func (h *Handler) takeOptional(r *http.Request, c *ffmesh.Call) {
	c.TargetLimit = h.number(r, limitHeader)
	c.RetryShare = min(max(h.number(r, retryShareHeader), 0), 1)
	c.Header.Del(limitHeader)
	c.Header.Del(retryShareHeader)
}

// number returns the finite number in a header of r, or 0.
func (h *Handler) number(r *http.Request, name string) float64 {
	value := r.Header.Get(name)
	if value == "" {
		return 0
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		h.Log.Warn().Str("header", name).Str("value", value).Str("peer", r.RemoteAddr).Msg("invalid number in a call ignored")
		return 0
	}
	return n
}
