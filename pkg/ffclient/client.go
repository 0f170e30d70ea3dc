package ffclient

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffhead"
)

// onceRetryInterval is the time between two attempts with one token.
const onceRetryInterval = 100 * time.Millisecond

// defaultMaxAnswerBytes is the default of MaxAnswerBytes.
const defaultMaxAnswerBytes = 64 << 20

// Client sends the calls of one customer to a set of daemons.
type Client struct {
	// Addresses are the caller addresses of the daemons (IP and port).
	Addresses []string
	Key       string
	// HTTP sends the requests; http.DefaultClient when nil.
	HTTP *http.Client
	// MaxAnswerBytes is the maximum size of an answer's body; 64 MiB when 0.
	MaxAnswerBytes int64

	requestCount atomic.Uint64
}

// Request is one call.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Token limits a call that is not idempotent to one run; empty for none.
	Token string
	// Deadline is the time by which the call must be answered; zero means the timeout
	// of the route.
	Deadline time.Time
}

// Do sends the request once, to the next address in round-robin order. A refusal
// by the daemon is returned as an answer; the error is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	return c.DoAt(ctx, c.nextAddress(), r)
}

// DoAt sends the request once, to the daemon at address. The error is an *Error.
func (c *Client) DoAt(ctx context.Context, address string, r Request) (*Answer, error) {
	var sent atomic.Int64
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Add(1) }}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), address, r)
	if err != nil {
		return nil, &Error{Op: "call", Kind: KindRequest, Outcome: OutcomeNotRun, Err: err}
	}
	response, err := c.httpClient().Do(request)
	if err != nil {
		return nil, &Error{Op: "call", Kind: KindTransport, Outcome: outcomeOf(sent.Load() > 0, r), Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if err := ffhead.CheckResponse(response); err != nil {
		return nil, &Error{Op: "read answer", Kind: KindTransport, Outcome: OutcomeUnknown, Err: err}
	}
	body, err := c.readBody(response)
	if err != nil {
		return nil, &Error{Op: "read answer", Kind: KindTransport, Outcome: OutcomeUnknown, Err: err}
	}
	a := answerOf(response, body, time.Now())
	if a.Outcome == OutcomeNotRun && sent.Load() > 1 {
		// The HTTP client resent the request on its own; the first copy may have run.
		a.Outcome = OutcomeUnknown
	}
	return a, nil
}

// readBody reads an answer's body, which may have at most MaxAnswerBytes. Daemons always send
// it so that its end can be told from that of the connection.
func (c *Client) readBody(response *http.Response) ([]byte, error) {
	if !ffhead.IsDelimited(response) {
		return nil, merry.New("the body is not delimited")
	}
	limit := cmp.Or(c.MaxAnswerBytes, defaultMaxAnswerBytes)
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = merry.Errorf("the body exceeds %d bytes", limit)
	}
	return body, err
}

// outcomeOf returns the outcome of a call without an answer. A request that was
// not sent did not run; with a token, an earlier request may have run.
func outcomeOf(sent bool, r Request) Outcome {
	if sent || r.Token != "" {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// finalRefusals are the reasons for which every daemon refuses the same request, so
// that a retry is useless.
var finalRefusals = map[string]bool{
	"unauthenticated": true,
	"forbidden":       true,
	"noRoute":         true,
	"tooLarge":        true,
	"malformed":       true,
}

// DoOnce runs the request at most once. It retries with one token, over the
// addresses in round-robin order, until the outcome is known, the request itself
// is invalid, or ctx ends. Without a token in the request it first mints one for
// the route. OutcomeNotRun is final: the gate that reports it has spent the token
// and runs no later request with it, even if an earlier attempt is still in flight.
func (c *Client) DoOnce(ctx context.Context, route string, r Request) (*Answer, error) {
	if r.Token == "" {
		token, err := c.Mint(ctx, route)
		if err != nil {
			return nil, err
		}
		r.Token = token
	}
	for {
		answer, err := c.Do(ctx, r)
		if err == nil && (answer.Outcome != OutcomeUnknown || finalRefusals[answer.Reason]) {
			return answer, nil
		}
		if !sleep(ctx, onceRetryInterval) {
			return answer, err
		}
	}
}

// Mint returns a token for one call of a route that is not idempotent.
func (c *Client) Mint(ctx context.Context, route string) (string, error) {
	body, err := json.Marshal(map[string]string{"route": route})
	if err != nil {
		return "", &Error{Op: "mint", Kind: KindRequest, Outcome: OutcomeNotRun, Err: err}
	}
	answer, err := c.Do(ctx, Request{Method: http.MethodPost, Path: "/v1/tokens", Body: body})
	if err != nil {
		return "", err
	}
	var minted struct {
		Token string `json:"token"`
	}
	if answer.Status != http.StatusOK {
		return "", &Error{Op: "mint", Kind: KindRefused, Outcome: OutcomeNotRun, Err: merry.Errorf("status %d: %s", answer.Status, answer.Reason)}
	}
	if err := json.Unmarshal(answer.Body, &minted); err != nil {
		return "", &Error{Op: "mint", Kind: KindTransport, Outcome: OutcomeNotRun, Err: err}
	}
	return minted.Token, nil
}

func (c *Client) newRequest(ctx context.Context, address string, r Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http resends a request that may have been written only if it
	// has no body and counts as idempotent.
	request.GetBody = nil
	for field, values := range r.Header {
		request.Header[field] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	if r.Token != "" {
		request.Header.Set("Fireflyfall-Token", r.Token)
	}
	if !r.Deadline.IsZero() {
		millis := max(time.Until(r.Deadline).Milliseconds(), 1)
		request.Header.Set("Fireflyfall-Timeout-Millis", strconv.FormatInt(millis, 10))
	}
	return request, nil
}

func (c *Client) nextAddress() string {
	return c.Addresses[c.requestCount.Add(1)%uint64(len(c.Addresses))]
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
