package ffmeshpeer

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// Gate is the local gate of this VM.
type Gate interface {
	ffmesh.Gate
	// Refusal returns the refusal that a call would get now, or nil.
	Refusal(c *ffmesh.Call) *ffmesh.Reply
	// AdmitBody waits until the call's body may be received and calls alive regularly
	// while it waits. The caller must call done once the body was received or the
	// call was given up.
	AdmitBody(ctx context.Context, c *ffmesh.Call, alive func()) (done func(), refusal *ffmesh.Reply)
}

// Handler passes the calls of other daemons to this VM's gate. It asks for the body
// of a call only when the gate does not refuse the call at once.
type Handler struct {
	Gate Gate
	// Memory limits the memory used by buffered bodies.
	Memory *ffmesh.Memory
	Log    zerolog.Logger
}

// ServeHTTP runs one call. Interim 102 responses acknowledge a call that was sent
// with its body, and extend the wait of a sender whose body cannot be received yet, be it
// for the link or for a slot.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var head callHead
	if err := decode(r.Header.Get(callHeader), &head); err != nil {
		h.Log.Warn().Err(err).Str("peer", r.RemoteAddr).Msg("invalid call header")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c := head.call(time.Now())
	c.Method, c.URI, c.Host = r.Method, r.RequestURI, r.Host
	c.Header = ffmesh.EndToEnd(r.Header)
	c.Header.Del(callHeader)
	h.takeOptional(r, c)
	if refusal := h.Gate.Refusal(c); refusal != nil {
		h.writeReply(w, c, refusal)
		return
	}
	if r.Header.Get("Expect") == "" {
		w.WriteHeader(http.StatusProcessing)
	}
	release, ok := h.Memory.Reserve(c.Length)
	if !ok {
		h.Log.Warn().Str("request", c.ID).Msg("no memory left for the request body")
		h.writeReply(w, c, &ffmesh.Reply{Outcome: ffmesh.OutcomeNotRun, Reason: ffmesh.ReasonBusy})
		return
	}
	defer release()
	// The sender takes a gate for dead that says nothing before it asks for the body. If the
	// sender has left, this ends the call's context.
	alive := func() { w.WriteHeader(http.StatusProcessing) }
	done, refusal := h.Gate.AdmitBody(r.Context(), c, alive)
	if refusal != nil {
		h.writeReply(w, c, refusal)
		return
	}
	defer done()
	h.readBody(r, c)
	if c.Stream == nil {
		done()
	} else {
		c.OnWait = alive
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	h.writeReply(w, c, h.Gate.Do(ctx, c))
}

// readBody reads the body of r into c. It aborts the connection on an error.
func (h *Handler) readBody(r *http.Request, c *ffmesh.Call) {
	body, stream, err := ffmesh.ReadBody(r)
	if err != nil {
		h.Log.Warn().Err(err).Str("request", c.ID).Msg("failed to read the request body")
		panic(http.ErrAbortHandler)
	}
	c.Body, c.Stream = body, stream
	if stream == nil {
		c.Length = int64(len(body))
	}
}

// writeReply sends a reply. It aborts the connection when the body is incomplete.
func (h *Handler) writeReply(w http.ResponseWriter, c *ffmesh.Call, r *ffmesh.Reply) {
	head, err := encodeReplyHead(r)
	if err != nil {
		h.Log.Error().Err(err).Str("request", c.ID).Msg("failed to encode the reply")
		panic(http.ErrAbortHandler)
	}
	ffmesh.CopyHeader(w.Header(), r.Header)
	w.Header().Set(replyHeader, head)
	defer r.Close()
	r.SetContentLength(w.Header())
	w.WriteHeader(http.StatusOK)
	if err := r.CopyBody(w); err != nil {
		panic(http.ErrAbortHandler)
	}
}
