package ffmeshpeer

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// Gate is the gate of this VM.
type Gate interface {
	ffmesh.Gate
	// Refusal returns why a call would be refused now, or nil.
	Refusal(c *ffmesh.Call) *ffmesh.Reply
	// Receive waits until the call's body may come, and calls alive while it waits.
	// The caller calls done when the body is in or was given up.
	Receive(ctx context.Context, c *ffmesh.Call, alive func()) (done func(), refusal *ffmesh.Reply)
}

// Handler serves the calls of other daemons at this VM's gate. A call's body is
// asked for only when the call is not refused at once.
type Handler struct {
	Gate Gate
	// Memory bounds the bodies that are held.
	Memory *ffmesh.Memory
	Log    zerolog.Logger
}

// ServeHTTP runs one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var head callHead
	if err := decode(r.Header.Get(callHeader), &head); err != nil {
		h.Log.Warn().Err(err).Str("peer", r.RemoteAddr).Msg("call without a readable head")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c := head.call(time.Now())
	c.Method, c.URI, c.Host = r.Method, r.RequestURI, r.Host
	c.Header = ffmesh.EndToEnd(r.Header)
	c.Header.Del(callHeader)
	if refusal := h.Gate.Refusal(c); refusal != nil {
		h.write(w, c, refusal)
		return
	}
	if r.Header.Get("Expect") == "" {
		w.WriteHeader(http.StatusProcessing)
	}
	release, ok := h.Memory.Hold(c.Length)
	if !ok {
		h.Log.Warn().Str("request", c.ID).Msg("no memory for the body of a call")
		h.write(w, c, &ffmesh.Reply{Outcome: ffmesh.OutcomeNotRun, Reason: ffmesh.ReasonBusy})
		return
	}
	defer release()
	done, refusal := h.Gate.Receive(r.Context(), c, func() { w.WriteHeader(http.StatusProcessing) })
	if refusal != nil {
		h.write(w, c, refusal)
		return
	}
	defer done()
	h.receive(r, c)
	if c.Stream == nil {
		done()
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	h.write(w, c, h.Gate.Do(ctx, c))
}

// receive reads the body of a call.
func (h *Handler) receive(r *http.Request, c *ffmesh.Call) {
	body, stream, err := ffmesh.ReadBody(r)
	if err != nil {
		h.Log.Warn().Err(err).Str("request", c.ID).Msg("body of a call broke off")
		panic(http.ErrAbortHandler)
	}
	c.Body, c.Stream = body, stream
	if stream == nil {
		c.Length = int64(len(body))
	}
}

func (h *Handler) write(w http.ResponseWriter, c *ffmesh.Call, r *ffmesh.Reply) {
	head, err := replyHeadOf(r)
	if err != nil {
		h.Log.Error().Err(err).Str("request", c.ID).Msg("reply cannot be encoded")
		panic(http.ErrAbortHandler)
	}
	ffmesh.CopyHeader(w.Header(), r.Header)
	w.Header().Set(replyHeader, head)
	if r.Stream == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(r.Body)
		return
	}
	defer func() { _ = r.Stream.Close() }()
	w.WriteHeader(http.StatusOK)
	if _, err := w.Write(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(w, r.Stream); err != nil {
		panic(http.ErrAbortHandler)
	}
}
