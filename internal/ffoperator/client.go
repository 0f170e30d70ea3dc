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
	// clientTimeout is the timeout of one request to a daemon.
	clientTimeout = 3 * time.Second
	// maxParallelRequests limits the concurrent requests of a client.
	maxParallelRequests = 32
	// maxResponseBytes limits the size of a response body, in bytes.
	maxResponseBytes = 16 << 20
)

// Client sends requests to the operator endpoints of daemons.
type Client struct {
	// Key is the operator key, sent as a bearer token unless it is empty.
	Key  string
	HTTP http.Client
}

// Result is the decoded response of one daemon, or the error of the request.
type Result[T any] struct {
	VM    ffmember.VM
	Value T
	Err   error
}

// Members returns the VMs in the member list of the daemon at address.
func (c *Client) Members(ctx context.Context, address string) ([]ffmember.VM, error) {
	return get[[]ffmember.VM](ctx, c, address, "/v1/members")
}

// Status returns the status of the daemon at address.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	return get[Status](ctx, c, address, "/v1/status")
}

// Audit returns the audit trail of the daemon at address.
func (c *Client) Audit(ctx context.Context, address string) ([]ffaudit.Event, error) {
	return get[[]ffaudit.Event](ctx, c, address, "/v1/audit")
}

// Statuses requests the status of every VM concurrently. The answers are in the order of vms.
func (c *Client) Statuses(ctx context.Context, vms []ffmember.VM) []Result[Status] {
	return getAll[Status](ctx, c, vms, "/v1/status")
}

// Audits requests the audit trail of every VM concurrently. The answers are in the order of vms.
func (c *Client) Audits(ctx context.Context, vms []ffmember.VM) []Result[[]ffaudit.Event] {
	return getAll[[]ffaudit.Event](ctx, c, vms, "/v1/audit")
}

// getAll sends GET requests for path to all vms and returns one answer for each, in order.
func getAll[T any](ctx context.Context, c *Client, vms []ffmember.VM, path string) []Result[T] {
	answers := make([]Result[T], len(vms))
	var g errgroup.Group
	g.SetLimit(maxParallelRequests)
	for i, vm := range vms {
		g.Go(func() error {
			value, err := get[T](ctx, c, vm.OperatorAddress, path)
			answers[i] = Result[T]{VM: vm, Value: value, Err: err}
			return nil
		})
	}
	_ = g.Wait()
	return answers
}

// get sends a GET request and decodes the JSON response. A status other than 200 is an error.
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
	response, err := c.HTTP.Do(r)
	if err != nil {
		return value, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return value, merry.Errorf("%s responded with status %s", address, response.Status)
	}
	return value, json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&value)
}
