package ffoutbound

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/xid"
	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// ConfigSource provides the configuration and the targets in force.
type ConfigSource interface {
	// Table returns the configuration, or nil before one is known.
	Table() *ffroute.Table
	Fleet() fffleet.Fleet
	// ExpectedAt returns when the first configuration will probably come; zero if that is
	// not known.
	ExpectedAt() time.Time
	// MarkLeaving records that a target said that it is leaving.
	MarkLeaving(t fffleet.Target)
	// MarkReplaced records that another target answers at the address of t.
	MarkReplaced(t fffleet.Target)
}

// Gates provides the gate of each VM.
type Gates interface {
	Gate(vm netip.Addr) ffmesh.Gate
}

const (
	// unavailableRetryIn is the Retry-After of an entry that has no memory for the request,
	// and the least one of an entry that has no configuration yet.
	unavailableRetryIn = 120 * time.Millisecond
	// discardTime and discardBytes bound how much of a refused body is still read.
	discardTime  = time.Second
	discardBytes = 64 << 20
	// clientRetryThreshold is how much of its time a client must have used up for its
	// request to count as a retry by the client.
	clientRetryThreshold = 10 * time.Millisecond
	// defaultClientTimeout is assumed for a client that does not send its timeout.
	defaultClientTimeout = 30 * time.Second
)

// Handler serves the requests that originate on this VM.
type Handler struct {
	// Origin returns the service of the target on this VM.
	Origin  func() string
	Config  ConfigSource
	Gates   Gates
	Dialect ffmesh.Dialect
	Picker  *Picker
	Budget  *RetryBudget
	Hedges  *Hedges
	// RetryShare estimates the probability that a request with the given deadline was
	// made by a run of this VM's target that counts as a retry; nil if none can be.
	RetryShare func(deadline time.Time) float64
	// Memory limits the bodies held in memory. No request is accepted while unread
	// responses take more than that.
	Memory  *ffmesh.Memory
	Log     zerolog.Logger
	Metrics *Metrics

	splitter  ffroute.Splitter
	timeouts  clientTimeouts
	stop      atomic.Pointer[Stop]
	ending    ending
	inFlight  atomic.Int64
	responses atomic.Int64
}

// Stop limits the requests that are accepted from now on, and ends those that still run
// at the end. Every response closes its connection.
func (h *Handler) Stop(s Stop) {
	h.stop.Store(&s)
	time.AfterFunc(time.Until(s.EndsAt), h.ending.end)
}

// stopping returns the limits of a stop, and whether there is one.
func (h *Handler) stopping() (Stop, bool) {
	s := h.stop.Load()
	if s == nil {
		return Stop{}, false
	}
	return *s, true
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// MayRunConcurrently reports whether a request may be served before earlier requests on its
// connection are answered. Only an idempotent request without a body may.
func (h *Handler) MayRunConcurrently(r *http.Request) bool {
	table := h.Config.Table()
	if table == nil || r.ContentLength != 0 {
		return false
	}
	route := table.Match(r.Host, r.URL.EscapedPath())
	return route != nil && route.Kind.Idempotent()
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	received := time.Now()
	table := h.Config.Table()
	if table == nil {
		retryIn := max(h.Config.ExpectedAt().Sub(received), unavailableRetryIn)
		h.refuse(w, r, http.StatusServiceUnavailable, "noConfiguration", retryIn)
		return
	}
	route := table.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		h.refuse(w, r, http.StatusNotFound, "noRoute", 0)
		return
	}
	c := h.newCall(r, route, received)
	stop, _ := h.stopping()
	if !stop.Accepts(received, c.Deadline) {
		h.refuse(w, r, http.StatusServiceUnavailable, "stopping", unavailableRetryIn)
		return
	}
	c.Deadline = stop.Limit(c.Deadline)
	if r.ContentLength > table.Limits.BodyBytes && table.Limits.BodyBytes > 0 {
		h.refuseTooLarge(w, r, r.Body)
		return
	}
	unlimited := r.Body
	if table.Limits.BodyBytes > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, table.Limits.BodyBytes)
	}
	release, ok := h.reserve(r.ContentLength)
	if !ok {
		h.refuse(w, r, http.StatusServiceUnavailable, "memory", unavailableRetryIn)
		return
	}
	defer release()
	if err := readBody(c, r); err != nil {
		h.handleBodyError(w, r, unlimited, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	defer context.AfterFunc(h.ending.context(), cancel)()
	run := &run{handler: h, call: c, route: route, table: table, tried: make(map[string]bool)}
	run.clientRetry = c.Objective.Before(received.Add(route.Objective - clientRetryThreshold))
	defer func() { run.response.Close() }()
	run.do(ctx)
	if r.Context().Err() != nil {
		h.Metrics.Done(route.Kind, "clientLeft", time.Since(received))
		panic(http.ErrAbortHandler)
	}
	h.respond(w, run)
}

// reserve reserves memory for a request with a body of the given length, and reports whether
// the request can be accepted.
func (h *Handler) reserve(length int64) (release func(), ok bool) {
	if h.Memory.Overdrawn() {
		return nil, false
	}
	return h.Memory.Reserve(length)
}

// newCall builds the call for a request, without its body.
func (h *Handler) newCall(r *http.Request, route *ffroute.Route, received time.Time) *ffmesh.Call {
	id, timeout := h.Dialect.Attempt(r.Header)
	if id == "" {
		id = xid.New().String()
	}
	if timeout <= 0 {
		timeout = defaultClientTimeout
	}
	c := &ffmesh.Call{
		ID:        id,
		Method:    r.Method,
		URI:       r.RequestURI,
		Host:      r.Host,
		Header:    ffmesh.EndToEnd(r.Header),
		Length:    r.ContentLength,
		Origin:    h.Origin(),
		Service:   h.splitter.Pick(route),
		Kind:      route.Kind,
		Priority:  route.Priority,
		Class:     route.Class(),
		Received:  received,
		Deadline:  received.Add(timeout),
		Objective: received.Add(route.Objective - h.timeouts.elapsed(route.Name, timeout)),
	}
	if h.RetryShare != nil {
		c.RetryShare = h.RetryShare(c.Deadline)
	}
	if limit := received.Add(route.Timeout); route.Timeout > 0 && limit.Before(c.Deadline) {
		c.Deadline = limit
	}
	return c
}

// readBody reads the body of r into c.
func readBody(c *ffmesh.Call, r *http.Request) error {
	var err error
	c.Body, c.Stream, err = ffmesh.ReadBody(r)
	if c.Stream == nil {
		c.Length = int64(len(c.Body))
	}
	return err
}

// handleBodyError refuses a request whose body is too long, and aborts the connection
// of one whose body could not be read. unlimited is the body without the limit on its
// length.
func (h *Handler) handleBodyError(w http.ResponseWriter, r *http.Request, unlimited io.Reader, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		h.refuseTooLarge(w, r, unlimited)
		return
	}
	id, _ := h.Dialect.Attempt(r.Header)
	h.Log.Info().Str("request", id).Err(err).Msg("failed to read request body")
	panic(http.ErrAbortHandler)
}

// refuseTooLarge refuses a body that is too long and discards what follows of it for
// up to discardTime: closing the connection while the client still sends would reset
// it, and the client could lose the response.
func (h *Handler) refuseTooLarge(w http.ResponseWriter, r *http.Request, body io.Reader) {
	h.refuse(w, r, http.StatusRequestEntityTooLarge, "bodyTooLong", 0)
	rc := http.NewResponseController(w)
	if err := errors.Join(rc.Flush(), rc.SetReadDeadline(time.Now().Add(discardTime))); err != nil {
		h.Log.Info().Err(err).Msg("failed to send refusal")
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(body, discardBytes)); err != nil {
		h.Log.Info().Err(err).Msg("refused body not read to its end")
	}
}
