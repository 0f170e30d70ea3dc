package ffproof_test

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/fftoken"
	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

// call is one call of a caller.
type call struct {
	name     string
	at       []string
	customer string
	route    string
	// path and body name what is asked for; the records are searched by the path.
	path    string
	token   string
	timeout time.Duration
	header  http.Header
	gate    string
	// kept tells that the caller keeps its connections for further calls.
	kept bool

	client *ffclient.Client
	sent   time.Time
	answer *ffclient.Answer
	err    error
	// done is closed when the answer has come.
	done chan struct{}
}

var methods = map[string]string{"lookup": http.MethodGet, "extra": http.MethodGet, "deposit": http.MethodPost, "photos": http.MethodPut}

// newCall reads the arguments of a call.
func (s *stage) newCall(args []string) (*call, error) {
	c := &call{name: args[0], path: args[0], header: make(http.Header), done: make(chan struct{})}
	for _, arg := range args[1:] {
		name, value, _ := strings.Cut(arg, "=")
		if err := s.option(c, name, value); err != nil {
			return nil, err
		}
	}
	if !strings.HasPrefix(c.path, "/") {
		c.path = "/" + c.route + "/" + c.path
	}
	c.client = &ffclient.Client{Key: c.customer + "-key", HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if c.kept {
		c.client.HTTP = s.kept
	}
	for _, vm := range c.at {
		n, err := s.node(vm)
		if err != nil {
			return nil, err
		}
		c.client.Addresses = append(c.client.Addresses, n.Caller)
	}
	return c, nil
}

func (s *stage) option(c *call, name, value string) error {
	switch name {
	case "at":
		c.at = strings.Split(value, ",")
	case "customer":
		c.customer = value
	case "route":
		c.route = value
	case "like":
		c.path = value
	case "token":
		c.token = s.tokens[value]
	case "gate":
		c.gate = value
	case "connections":
		c.kept = value == "kept"
	case "work":
		c.header.Set("Stand-Work-Millis", value)
	case "crash":
		c.header.Set("Stand-Crash", value)
	case "bytes":
		c.header.Set("Stand-Answer-Bytes", value)
	case "timeout":
		millis, err := strconv.Atoi(value)
		c.timeout = time.Duration(millis) * time.Millisecond
		return err
	default:
		return merry.Errorf("no option %q", name)
	}
	return nil
}

func (c *call) request() ffclient.Request {
	r := ffclient.Request{Method: methods[c.route], Path: c.path, Header: c.header, Token: c.token}
	if r.Method != http.MethodGet {
		r.Body = []byte("body of " + c.path)
	}
	if c.timeout > 0 {
		r.Deadline = time.Now().Add(c.timeout)
	}
	return r
}

// run sends the call and waits for its answer.
func (c *call) run(ctx context.Context) {
	defer close(c.done)
	c.sent = time.Now()
	c.answer, c.err = c.client.Do(ctx, c.request())
}

// outcome returns what the caller knows of the call.
func (c *call) outcome() string {
	if c.err == nil {
		return string(c.answer.Outcome)
	}
	var e *ffclient.Error
	if errors.As(c.err, &e) {
		return string(e.Outcome)
	}
	return string(ffclient.OutcomeUnknown)
}

func (s *stage) add(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c.name] = c
}

func (s *stage) call(name string) (*call, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.calls[name]
	if !ok {
		return nil, merry.Errorf("no call %q", name)
	}
	return c, nil
}

func (s *stage) start(args []string) error {
	c, err := s.newCall(args)
	if err != nil {
		return err
	}
	s.add(c)
	s.loops.Go(func() { c.run(s.end) })
	return nil
}

// mint gets a token; with a gate wanted it asks until that one minted it.
func (s *stage) mint(args []string) error {
	c, err := s.newCall(args)
	if err != nil {
		return err
	}
	return s.eventually("a token", func(ctx context.Context) (bool, error) {
		token, err := c.client.Mint(ctx, c.route)
		if err != nil {
			return false, err
		}
		claims, err := fftoken.Parse(token)
		if err != nil {
			return false, err
		}
		s.tokens[c.name] = token
		return c.gate == "" || claims.VM == c.gate, merry.Errorf("the token is of %s", claims.VM)
	})
}

func (s *stage) finish(args []string) error {
	c, err := s.call(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := s.within()
	defer cancel()
	select {
	case <-c.done:
	case <-ctx.Done():
		return merry.New("no answer came")
	}
	if !slices.Contains(args[1:], c.outcome()) {
		return merry.Errorf("the outcome is %s, answer %s, error %v", c.outcome(), describe(c.answer), c.err)
	}
	return nil
}

func describe(a *ffclient.Answer) string {
	if a == nil {
		return "none"
	}
	return strconv.Itoa(a.Status) + " " + a.Reason + " " + string(a.Body[:min(len(a.Body), 300)])
}

func (s *stage) reason(args []string) error {
	c, err := s.call(args[0])
	if err != nil {
		return err
	}
	if c.answer == nil || c.answer.Reason != args[1] {
		return merry.Errorf("answer %s, error %v", describe(c.answer), c.err)
	}
	return nil
}

func (s *stage) same(args []string) error {
	a, err := s.call(args[0])
	if err != nil {
		return err
	}
	b, err := s.call(args[1])
	if err != nil {
		return err
	}
	if string(a.answer.Body) != string(b.answer.Body) {
		return merry.Errorf("%s and %s", describe(a.answer), describe(b.answer))
	}
	return nil
}
