package ffstand

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// maxBodyBytes is the maximum size of the body of a call to a target.
const maxBodyBytes = 64 << 20

// Handler returns the HTTP handler for calls from the daemon.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", t.health)
	mux.HandleFunc("/", t.serve)
	return mux
}

// health returns 200 while the target accepts new calls, 503 while it drains.
func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	if t.State().Draining {
		http.Error(w, "draining", http.StatusServiceUnavailable)
	}
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	call, err := t.parseCall(r, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	ctx, cancel := call.context(r.Context())
	defer cancel()
	if t.State().Draining || !t.slots.admit() {
		shed(w)
		return
	}
	defer t.slots.leave()
	if !t.slots.acquire(ctx) {
		shed(w)
		return
	}
	defer t.slots.release()
	t.execute(ctx, w, r, call, body)
}

// context returns a context that ends at the deadline of the call.
func (c targetCall) context(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, c.deadline)
}

// shed answers 503 with the outcome that the call did not run.
func shed(w http.ResponseWriter) {
	w.Header().Set(outcomeHeader, ffcall.OutcomeNotRun.String())
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

// execute runs the call, records the execution and sends the answer.
func (t *Target) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, call targetCall, body []byte) {
	e := t.record.start(Execution{
		Target:     t.settings.Name,
		CallID:     r.Header.Get(callIDHeader),
		Customer:   r.Header.Get(customerHeader),
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		Started:    time.Now(),
		BodyDigest: ffconfig.DigestOf(body),
	})
	if work := t.serviceTime(call, e.Started); work > 0 {
		sleep(ctx, work)
	}
	if ctx.Err() != nil {
		e.Cancelled = true
		t.finish(e)
		http.Error(w, "cancelled", http.StatusGatewayTimeout)
		return
	}
	content := encodeAnswer(e, call.paddingBytes)
	e.AnswerDigest = ffconfig.DigestOf(content)
	e.Crashed = call.crash != CrashNone
	t.finish(e)
	t.write(w, call.crash, content)
}

// finish records the end of an execution.
func (t *Target) finish(e Execution) {
	e.Ended = time.Now()
	t.record.end(e)
}

// write sends the answer. A crash sends half of it, then exits the process or
// aborts the connection.
func (t *Target) write(w http.ResponseWriter, crash CrashKind, content []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	if crash == CrashNone {
		_, _ = w.Write(content)
		return
	}
	_, _ = w.Write(content[:len(content)/2])
	_ = http.NewResponseController(w).Flush()
	if crash == CrashProcess {
		t.settings.Exit(crashStatus)
	}
	panic(http.ErrAbortHandler)
}
