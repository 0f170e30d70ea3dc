package ffoperator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

const (
	// clientTimeout bounds one request to a daemon.
	clientTimeout = 3 * time.Second
	// clientParallel bounds the daemons that are asked at once.
	clientParallel = 32
	// maxAnswerBytes bounds the answer of a daemon, in bytes.
	maxAnswerBytes = 16 << 20
)

// Client asks the operators' endpoints of daemons.
type Client struct {
	// Key is sent with every request when it is not empty.
	Key  string
	HTTP http.Client
}

// Answer is what one daemon answered, or the reason why it did not.
type Answer[T any] struct {
	VM    ffmember.VM
	Value T
	Err   error
}

// Members returns the VMs that the daemon at address knows.
func (c *Client) Members(ctx context.Context, address string) ([]ffmember.VM, error) {
	return get[[]ffmember.VM](ctx, c, address, "/v1/members")
}

// Status returns what the daemon at address says of itself.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	return get[Status](ctx, c, address, "/v1/status")
}

// Audit returns the audit trail of the daemon at address.
func (c *Client) Audit(ctx context.Context, address string) ([]ffaudit.Event, error) {
	return get[[]ffaudit.Event](ctx, c, address, "/v1/audit")
}

// Statuses asks every VM for its status.
func (c *Client) Statuses(ctx context.Context, vms []ffmember.VM) []Answer[Status] {
	return ask[Status](ctx, c, vms, "/v1/status")
}

// Audits asks every VM for its audit trail.
func (c *Client) Audits(ctx context.Context, vms []ffmember.VM) []Answer[[]ffaudit.Event] {
	return ask[[]ffaudit.Event](ctx, c, vms, "/v1/audit")
}

func ask[T any](ctx context.Context, c *Client, vms []ffmember.VM, path string) []Answer[T] {
	answers := make([]Answer[T], len(vms))
	var g errgroup.Group
	g.SetLimit(clientParallel)
	for i, vm := range vms {
		g.Go(func() error {
			value, err := get[T](ctx, c, vm.OperatorAddress, path)
			answers[i] = Answer[T]{VM: vm, Value: value, Err: err}
			return nil
		})
	}
	_ = g.Wait()
	return answers
}

func get[T any](ctx context.Context, c *Client, address, path string) (T, error) {
	var value T
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return value, err
	}
	if c.Key != "" {
		r.Header.Set("Authorization", bearerPrefix+c.Key)
	}
	answer, err := c.HTTP.Do(r)
	if err != nil {
		return value, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return value, merry.Errorf("%s answered %s", address, answer.Status)
	}
	return value, json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(&value)
}
