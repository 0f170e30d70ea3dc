package ffplatform

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// attemptTimeout is the timeout of one request to one address; a watch gets it
	// on top of its waiting time.
	attemptTimeout = 2 * time.Second
	// maxConnections is the maximum number of connections to one address.
	maxConnections = 16
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes is the maximum size of a response header, in bytes.
	maxHeaderBytes = 16 << 10
)

// Limiter limits the rate of requests to the platform.
type Limiter interface {
	// Wait blocks until one more request is allowed.
	Wait(ctx context.Context) error
}

// Client reads and watches values and the list of VMs on the platform.
type Client struct {
	addresses []string
	limiter   Limiter
	http      *http.Client
	// preferred modulo the number of addresses is the index of the address to try first.
	preferred atomic.Uint64
}

// Dial opens a connection; if it is nil, net/http's default is used.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client of the platform at the given addresses (host and
// port). It calls limiter.Wait before each request.
func NewClient(addresses []string, limiter Limiter, dial Dial) *Client {
	transport := &http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return &Client{
		addresses: addresses,
		limiter:   limiter,
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Read returns the value under key.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	return c.query(ctx, query{op: "read", key: key, path: valuePath(key), maxBytes: MaxValueBytes})
}

// Watch waits until the revision of the value under key differs from after, or
// until the given time; in the latter case it returns the same revision without
// content. The platform counts a watch as one call for each second, so short
// watches cost no more than a long one, and they limit the time for which an
// unresponsive connection can hide a change.
func (c *Client) Watch(ctx context.Context, key string, after uint64, until time.Time) (Value, error) {
	return c.query(ctx, query{op: "watch", key: key, path: valuePath(key), maxBytes: MaxValueBytes, watch: true, after: after, until: until})
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) (VMList, error) {
	return c.queryVMs(ctx, query{op: "read VMs", key: "vms", path: vmsPath, maxBytes: MaxVMListBytes})
}

// WatchVMs waits until the revision of the list differs from after, or until
// the given time; in the latter case it returns the same revision without VMs.
func (c *Client) WatchVMs(ctx context.Context, after uint64, until time.Time) (VMList, error) {
	return c.queryVMs(ctx, query{op: "watch VMs", key: "vms", path: vmsPath, maxBytes: MaxVMListBytes, watch: true, after: after, until: until})
}

func (c *Client) queryVMs(ctx context.Context, q query) (VMList, error) {
	value, err := c.query(ctx, q)
	if err != nil {
		return VMList{}, err
	}
	if q.unchanged(value) {
		return VMList{Revision: value.Revision}, nil
	}
	vms, err := decodeVMs(value.Content)
	if err != nil {
		return VMList{}, q.fail(KindMalformed, err)
	}
	return VMList{Revision: value.Revision, VMs: vms}, nil
}

// query tries the addresses in order, from the preferred one, until one returns a
// value or an error that is not retryable, or ctx ends. That address becomes the
// preferred one.
func (c *Client) query(ctx context.Context, q query) (Value, error) {
	first := c.preferred.Load()
	err := q.fail(KindUnavailable, merry.New("no address"))
	for i := range len(c.addresses) {
		index := first + uint64(i)
		var value Value
		value, err = c.attempt(ctx, q, c.addresses[index%uint64(len(c.addresses))])
		if err == nil || !err.retryable() || ctx.Err() != nil {
			c.preferred.CompareAndSwap(first, index)
			return value, err.orNil()
		}
	}
	return Value{}, err
}

// retryable reports whether the request may succeed at another address.
func (e *Error) retryable() bool {
	return e.Kind == KindUnavailable || e.Kind == KindMalformed || e.Kind == KindMismatch
}

// orNil converts e to an error, and a nil *Error to a nil error.
func (e *Error) orNil() error {
	if e == nil {
		return nil
	}
	return e
}

// attempt sends one request to one address.
func (c *Client) attempt(ctx context.Context, q query, address string) (Value, *Error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return Value{}, q.fail(KindRateLimited, err)
	}
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, q.deadline(now))
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: q.path, RawQuery: q.urlQuery(now)}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nonReplayableBody{})
	if err != nil {
		return Value{}, q.fail(KindUnavailable, err)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		// The idle connections may have failed in the same way as this one.
		c.http.CloseIdleConnections()
		return Value{}, q.fail(KindUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return q.decode(resp)
}

// urlQuery returns the URL query of a request that is sent at now.
func (q query) urlQuery(now time.Time) string {
	if !q.watch {
		return ""
	}
	wait := max(0, q.until.Sub(now))
	return url.Values{
		"after":      {strconv.FormatUint(q.after, 10)},
		"waitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}.Encode()
}
