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

// call is one call of a script, and its answer.
type call struct {
	name     string
	vms      []string
	customer string
	route    string
	// path identifies the call in the records of targets.
	path    string
	token   string
	timeout time.Duration
	header  http.Header
	gate    string
	// keepAlive makes the call use the pool of kept connections.
	keepAlive bool

	client *ffclient.Client
	sent   time.Time
	answer *ffclient.Answer
	err    error
	// done is closed when the call has ended.
	done chan struct{}
}

var methods = map[string]string{"lookup": http.MethodGet, "extra": http.MethodGet, "deposit": http.MethodPost, "photos": http.MethodPut}

// newCall returns the call that the arguments describe: its name and its options.
func (s *script) newCall(args []string) (*call, error) {
	c := &call{name: args[0], path: args[0], header: make(http.Header), done: make(chan struct{})}
	for _, arg := range args[1:] {
		name, value, _ := strings.Cut(arg, "=")
		if err := s.setOption(c, name, value); err != nil {
			return nil, err
		}
	}
	if !strings.HasPrefix(c.path, "/") {
		c.path = "/" + c.route + "/" + c.path
	}
	c.client = &ffclient.Client{Key: c.customer + "-key", HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if c.keepAlive {
		c.client.HTTP = s.keepAliveHTTP
	}
	for _, vm := range c.vms {
		n, err := s.node(vm)
		if err != nil {
			return nil, err
		}
		c.client.Addresses = append(c.client.Addresses, n.CallerAddress)
	}
	return c, nil
}

// setOption sets the option name of a call to value.
func (s *script) setOption(c *call, name, value string) error {
	switch name {
	case "at":
		c.vms = strings.Split(value, ",")
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
		c.keepAlive = value == "kept"
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
		return merry.Errorf("unknown option %q", name)
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

// outcome returns the outcome as the caller knows it.
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

func (s *script) add(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c.name] = c
}

func (s *script) call(name string) (*call, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.calls[name]
	if !ok {
		return nil, merry.Errorf("call %q does not exist", name)
	}
	return c, nil
}

func (s *script) start(args []string) error {
	c, err := s.newCall(args)
	if err != nil {
		return err
	}
	s.add(c)
	s.callers.Go(func() { c.run(s.ctx) })
	return nil
}

// mint gets a token for the route. If a gate is given, it retries until that gate
// has minted the token.
func (s *script) mint(args []string) error {
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
		return c.gate == "" || claims.VM == c.gate, merry.Errorf("the token was minted by %s", claims.VM)
	})
}

func (s *script) finish(args []string) error {
	c, err := s.call(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := s.stepContext()
	defer cancel()
	select {
	case <-c.done:
	case <-ctx.Done():
		return merry.New("the call has not ended")
	}
	if !slices.Contains(args[1:], c.outcome()) {
		return merry.Errorf("the outcome is %s, answer %s, error %v", c.outcome(), describe(c.answer), c.err)
	}
	return nil
}

// describe returns the status, the reason and the start of the body of a.
func describe(a *ffclient.Answer) string {
	if a == nil {
		return "none"
	}
	return strconv.Itoa(a.Status) + " " + a.Reason + " " + string(a.Body[:min(len(a.Body), 300)])
}

func (s *script) reason(args []string) error {
	c, err := s.call(args[0])
	if err != nil {
		return err
	}
	if c.answer == nil || c.answer.Reason != args[1] {
		return merry.Errorf("answer %s, error %v", describe(c.answer), c.err)
	}
	return nil
}

func (s *script) same(args []string) error {
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
