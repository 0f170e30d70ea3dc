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
	// unreadTimeout bounds the wait for the rest of a request that is refused before
	// its body was read; the connection lives on when the rest comes by then.
	unreadTimeout = 200 * time.Millisecond
	// quietTime is how long no request may have been in work, in quietLooks looks,
	// before the daemon may end.
	quietTime  = 200 * time.Millisecond
	quietLooks = 20
	// minStatus and maxStatus bound the statuses that a target may answer with.
	minStatus = 200
	maxStatus = 999
	// writeTimeout bounds the writing of an answer to a slow caller.
	writeTimeout = 30 * time.Second
)

// Entry takes calls to their answers.
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

	memory      bodyMemory
	connections connections
	leaving     atomic.Bool
	open        atomic.Int64
}

// NewHandler returns a handler over an entry.
func NewHandler(entry *ffentry.Entry, metrics *Metrics) *Handler {
	return &Handler{Entry: entry, Metrics: metrics}
}

// Leave makes every answer from now on the last on its connection, so that no
// caller keeps one on which it may send when the daemon stops.
func (h *Handler) Leave() { h.leaving.Store(true) }

// Wait returns when no request has been in work for a short time, or when ctx ends.
func (h *Handler) Wait(ctx context.Context) {
	ticker := time.NewTicker(quietTime / quietLooks)
	defer ticker.Stop()
	for looks := 0; looks < quietLooks; looks++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if h.open.Load() > 0 {
			looks = 0
		}
	}
}

// ServeHTTP takes one request to its answer.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.open.Add(1)
	defer h.open.Add(-1)
	start := time.Now()
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	snapshot, contract, err := h.Entry.Authenticate(bearerKey(r))
	if err != nil {
		h.refuseCall(w, r, "", err)
		return
	}
	if err := h.connections.claim(r.Context(), contract); err != nil {
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
		h.refuseCall(w, r, contract.Customer, &ffcall.Error{Op: "retry", Kind: ffcall.KindToken, Err: merry.New("a retry without a token cannot be looked up, so it is not run")})
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
	h.run(w, r, admission, deadline)
	h.Metrics.observe(admission.Route.Name, time.Since(start))
}

// run reads the body of an admitted request, has it served and answers.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, a *ffentry.Admission, deadline time.Time) {
	customer := a.Contract.Customer
	reserved := max(r.ContentLength, 0)
	if r.ContentLength < 0 {
		reserved = a.Contract.MaxBodyBytes
	}
	if err := h.memory.take(customer, min(reserved, a.Contract.MaxBodyBytes)); err != nil {
		h.refuseCall(w, r, customer, err)
		return
	}
	defer h.memory.give(customer, min(reserved, a.Contract.MaxBodyBytes))
	body, err := readBody(w, r, a.Contract.MaxBodyBytes, deadline)
	if err != nil {
		w.Header().Set("Connection", "close")
		h.refuseCall(w, r, customer, err)
		return
	}
	call := callOf(r, a, body, deadline)
	reply, err := h.Entry.Serve(r.Context(), a, call)
	if err != nil {
		h.fail(w, customer, call.ID, err)
		return
	}
	h.answer(w, call, reply)
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

func (h *Handler) answer(w http.ResponseWriter, call *ffcall.Call, reply *ffcall.Reply) {
	if reply.Status < minStatus || reply.Status > maxStatus {
		h.fail(w, call.Customer, call.ID, &ffcall.Error{Op: "answer", Outcome: ffcall.OutcomeRan, Err: merry.Errorf("the target answered with status %d", reply.Status)})
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

// refuseCall answers a call that did not reach its gate. With a token, an
// earlier request may have run, so that only the gate can tell that it did not.
func (h *Handler) refuseCall(w http.ResponseWriter, r *http.Request, customer string, err error) {
	if r.Header.Get(headerToken) != "" {
		err = ffcall.Unproved(err)
	}
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadTimeout))
	}
	h.fail(w, customer, "", err)
}

func (h *Handler) fail(w http.ResponseWriter, customer, callID string, err error) {
	if callID != "" {
		w.Header().Set(headerCallID, callID)
	}
	now := time.Now()
	_ = http.NewResponseController(w).SetWriteDeadline(now.Add(writeTimeout))
	refuse(w, callID, err, now)
	h.Metrics.count(customer, ffcall.OutcomeOf(err), ffcall.KindOf(err).String())
}

// deadlineOf returns the earlier of the route's deadline and the caller's.
func deadlineOf(r *http.Request, route *ffconfig.Route, now time.Time) (time.Time, error) {
	millis := route.TimeoutMillis
	if asked := r.Header.Get(headerTimeoutMillis); asked != "" {
		n, err := strconv.ParseInt(asked, 10, 64)
		if err != nil || n < 1 {
			return time.Time{}, ffcall.Refuse("read header", ffcall.KindMalformed, merry.Errorf("%s is %q, a whole number of at least 1 is allowed", headerTimeoutMillis, asked))
		}
		millis = min(millis, n)
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}
