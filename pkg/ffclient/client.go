package ffclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// oncePause is the time between two attempts with one token.
const oncePause = 100 * time.Millisecond

// Client calls the daemons at some addresses with the key of one customer.
type Client struct {
	// Addresses are those of daemons for callers (IP and port).
	Addresses []string
	Key       string
	// HTTP carries the requests; http.DefaultClient when nil.
	HTTP *http.Client

	turn atomic.Uint64
}

// Request is one call.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Token binds a call that is not idempotent to one run; empty for none.
	Token string
	// Deadline is the time after which the answer is not wanted; zero for the route's.
	Deadline time.Time
}

// Do sends the request once, to the next address in turn. A refusal of the
// daemon is an answer; the error is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	return c.DoAt(ctx, c.next(), r)
}

// DoAt sends the request once, to the daemon at an address.
func (c *Client) DoAt(ctx context.Context, address string, r Request) (*Answer, error) {
	var sent atomic.Int64
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Add(1) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), address, r)
	if err != nil {
		return nil, &Error{Op: "call", Kind: KindRequest, Outcome: OutcomeNotRun, Err: err}
	}
	answer, err := c.client().Do(request)
	if err != nil {
		return nil, &Error{Op: "call", Kind: KindTransport, Outcome: outcomeOf(sent.Load() > 0, r), Err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, &Error{Op: "read answer", Kind: KindTransport, Outcome: OutcomeUnknown, Err: err}
	}
	a := answerOf(answer, body, time.Now())
	if a.Outcome == OutcomeNotRun && sent.Load() > 1 {
		// The HTTP client sent the request again by itself; the first copy may have run.
		a.Outcome = OutcomeUnknown
	}
	return a, nil
}

// outcomeOf tells what is known of a call without an answer: one that was never
// written did not run, unless an earlier one with the same token did.
func outcomeOf(written bool, r Request) Outcome {
	if written || r.Token != "" {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// rejected are the reasons for which every daemon refuses the request as it is.
var rejected = map[string]bool{
	"unauthenticated": true,
	"forbidden":       true,
	"noRoute":         true,
	"tooLarge":        true,
	"malformed":       true,
}

// DoOnce sends the request with a token, again and again through each address in
// turn, until its outcome is known, the request itself is rejected, or ctx ends. It runs at most once. Without a
// token in the request it mints one for the route first. That the call did not
// run is final, since the gate that says so runs nothing with the token any more,
// also when an earlier attempt is still on its way.
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
		if err == nil && (answer.Outcome != OutcomeUnknown || rejected[answer.Reason]) {
			return answer, nil
		}
		if !pause(ctx, oncePause) {
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

func (c *Client) request(ctx context.Context, address string, r Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody and with a method that may not be repeated, net/http never sends a request again by itself.
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

func (c *Client) next() string {
	return c.Addresses[c.turn.Add(1)%uint64(len(c.Addresses))]
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
