package ffcaller

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/xid"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffentry"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// unreadBodyTimeout limits the wait for the rest of a request that is refused
	// before its body was read; the connection stays open if the rest arrives in time.
	unreadBodyTimeout = 200 * time.Millisecond
	// idlePeriod is the time without requests in flight, checked idleChecks times,
	// after which the daemon may exit.
	idlePeriod = 200 * time.Millisecond
	idleChecks = 20
	// minStatus and maxStatus are the range of statuses allowed in answers of targets.
	minStatus = 200
	maxStatus = 999
	// writeTimeout limits the time to write an answer to a slow caller.
	writeTimeout = 30 * time.Second
)

// Entry authenticates, admits and executes calls, and mints tokens.
type Entry interface {
	Authenticate(key string) (*ffconfig.Snapshot, *ffconfig.Contract, error)
	Admit(ctx context.Context, s *ffconfig.Snapshot, c *ffconfig.Contract, method, path string) (*ffentry.Admission, error)
	Serve(ctx context.Context, a *ffentry.Admission, call *ffcall.Call) (*ffcall.Reply, error)
	Mint(ctx context.Context, s *ffconfig.Snapshot, c *ffconfig.Contract, route string) (string, error)
}

// Handler answers the requests of callers.
type Handler struct {
	Entry   Entry
	Metrics *Metrics

	memory             bodyMemory
	connections        connections
	keepAlivesDisabled atomic.Bool
	inFlight           atomic.Int64
}

// NewHandler returns a handler that passes calls to entry. A nil metrics records nothing.
func NewHandler(entry *ffentry.Entry, metrics *Metrics) *Handler {
	return &Handler{Entry: entry, Metrics: metrics}
}

// DisableKeepAlives makes the handler close each connection after its next answer, so that no
// caller sends a request on a kept-alive connection while the daemon stops.
func (h *Handler) DisableKeepAlives() { h.keepAlivesDisabled.Store(true) }

// WaitIdle returns when no request has been in flight for idlePeriod, or when ctx ends.
func (h *Handler) WaitIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePeriod / idleChecks)
	defer ticker.Stop()
	for checks := 0; checks < idleChecks; checks++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if h.inFlight.Load() > 0 {
			checks = 0
		}
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	start := time.Now()
	if h.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	snapshot, contract, err := h.Entry.Authenticate(bearerKey(r))
	if err != nil {
		h.refuseCall(w, r, "", err)
		return
	}
	if err := h.connections.assign(r.Context(), contract); err != nil {
		w.Header().Set("Connection", "close")
		h.refuseCall(w, r, contract.Customer, err)
		return
	}
	if r.URL.Path == "/v1/tokens" {
		h.serveToken(w, r, snapshot, contract)
		return
	}
	h.serveCall(w, r, snapshot, contract, start)
}

func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request, snapshot *ffconfig.Snapshot, contract *ffconfig.Contract, start time.Time) {
	w.Header().Set(headerVersion, snapshot.Version().String())
	if r.Header.Get(headerRetry) == "true" && r.Header.Get(headerToken) == "" {
		h.refuseCall(w, r, contract.Customer, &ffcall.Error{Op: "retry", Kind: ffcall.KindToken, Err: merry.New("a retry needs a token, since an earlier attempt cannot be found without one")})
		return
	}
	admission, err := h.Entry.Admit(r.Context(), snapshot, contract, r.Method, r.URL.Path)
	if err != nil {
		h.refuseCall(w, r, contract.Customer, err)
		return
	}
	defer admission.Release()
	deadline, err := deadlineOf(r, admission.Route, start)
	if err != nil {
		h.refuseCall(w, r, contract.Customer, err)
		return
	}
	h.serveAdmitted(w, r, admission, deadline)
	h.Metrics.observe(admission.Route.Name, time.Since(start))
}

// serveAdmitted reads the body of an admitted request, executes the call and
// writes the answer.
func (h *Handler) serveAdmitted(w http.ResponseWriter, r *http.Request, a *ffentry.Admission, deadline time.Time) {
	customer := a.Contract.Customer
	reserved := max(r.ContentLength, 0)
	if r.ContentLength < 0 {
		reserved = a.Contract.MaxBodyBytes
	}
	if err := h.memory.reserve(customer, min(reserved, a.Contract.MaxBodyBytes)); err != nil {
		h.refuseCall(w, r, customer, err)
		return
	}
	defer h.memory.release(customer, min(reserved, a.Contract.MaxBodyBytes))
	body, err := readBody(w, r, a.Contract.MaxBodyBytes, deadline)
	if err != nil {
		w.Header().Set("Connection", "close")
		h.refuseCall(w, r, customer, err)
		return
	}
	call := callOf(r, a, body, deadline)
	reply, err := h.Entry.Serve(r.Context(), a, call)
	if err != nil {
		h.writeError(w, customer, call.ID, err)
		return
	}
	h.writeReply(w, call, reply)
}

func callOf(r *http.Request, a *ffentry.Admission, body []byte, deadline time.Time) *ffcall.Call {
	return &ffcall.Call{
		ID:       xid.New().String(),
		Customer: a.Contract.Customer,
		Share:    a.Contract.Share,
		Route:    a.Route,
		Token:    r.Header.Get(headerToken),
		Deadline: deadline,
		Method:   r.Method,
		Path:     r.URL.RequestURI(),
		Header:   endToEnd(r.Header),
		Body:     body,
		Version:  a.Version,
	}
}

func (h *Handler) writeReply(w http.ResponseWriter, call *ffcall.Call, reply *ffcall.Reply) {
	if reply.Status < minStatus || reply.Status > maxStatus {
		h.writeError(w, call.Customer, call.ID, &ffcall.Error{Op: "answer", Outcome: ffcall.OutcomeRan, Err: merry.Errorf("invalid status %d from the target", reply.Status)})
		return
	}
	header := w.Header()
	for field, values := range endToEnd(reply.Header) {
		header[field] = values
	}
	header.Set(headerCallID, call.ID)
	header.Set(headerOutcome, ffcall.OutcomeRan.String())
	header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	if reply.NextToken != "" {
		header.Set(headerNextToken, reply.NextToken)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
	h.Metrics.count(call.Customer, ffcall.OutcomeRan, "")
}

// refuseCall refuses a call that did not reach its gate. With a token, the outcome
// is unknown: an earlier request may have run, and only the gate can rule that out.
func (h *Handler) refuseCall(w http.ResponseWriter, r *http.Request, customer string, err error) {
	if r.Header.Get(headerToken) != "" {
		err = ffcall.WithOutcomeUnknown(err)
	}
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	h.writeError(w, customer, "", err)
}

func (h *Handler) writeError(w http.ResponseWriter, customer, callID string, err error) {
	if callID != "" {
		w.Header().Set(headerCallID, callID)
	}
	now := time.Now()
	_ = http.NewResponseController(w).SetWriteDeadline(now.Add(writeTimeout))
	writeRefusal(w, callID, err, now)
	h.Metrics.count(customer, ffcall.OutcomeOf(err), ffcall.KindOf(err).String())
}

// deadlineOf returns the deadline from the shorter of the route's timeout and the
// caller's.
func deadlineOf(r *http.Request, route *ffconfig.Route, now time.Time) (time.Time, error) {
	millis := route.TimeoutMillis
	if requested := r.Header.Get(headerTimeoutMillis); requested != "" {
		n, err := strconv.ParseInt(requested, 10, 64)
		if err != nil || n < 1 {
			return time.Time{}, ffcall.Refuse("read header", ffcall.KindMalformed, merry.Errorf("%s is %q, want an integer of at least 1", headerTimeoutMillis, requested))
		}
		millis = min(millis, n)
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}
