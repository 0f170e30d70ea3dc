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
	// attemptTimeout bounds one request to one address, without the wait of a watch.
	attemptTimeout = 2 * time.Second
	// maxConnections bounds the connections to one address.
	maxConnections = 16
	// idleTimeout closes connections without requests.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes bounds the header of an answer, in bytes.
	maxHeaderBytes = 16 << 10
)

// Limiter grants single requests to the platform.
type Limiter interface {
	// Wait blocks until one more request is allowed.
	Wait(ctx context.Context) error
}

// Client reads the platform.
type Client struct {
	addresses []string
	limiter   Limiter
	http      *http.Client
	// preferred counts the changes of address; it is used modulo their number.
	preferred atomic.Uint64
}

// Dial makes a connection; that of net.Dialer when nil.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client of the platform at the given addresses (host and
// port), which asks limiter before each request.
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

// Close closes the connections that carry no request.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Read returns the value under key.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	return c.query(ctx, query{op: "read", key: key, path: valuePath(key), maxBytes: MaxValueBytes})
}

// Watch waits until the revision of the value under key differs from after, or
// until the given time; then it returns the same revision without content. The
// platform counts a watch as a call each second, so a short watch costs no more
// than a long one, and bounds how long a silent connection hides a change.
func (c *Client) Watch(ctx context.Context, key string, after uint64, until time.Time) (Value, error) {
	return c.query(ctx, query{op: "watch", key: key, path: valuePath(key), maxBytes: MaxValueBytes, watch: true, after: after, until: until})
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) (VMList, error) {
	return c.queryVMs(ctx, query{op: "read VMs", key: "vms", path: vmsPath, maxBytes: MaxVMListBytes})
}

// WatchVMs waits until the revision of the list differs from after, or until
// the given time; then it returns the same revision without VMs.
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

// query asks each address in turn until one answers, and stays with that one.
func (c *Client) query(ctx context.Context, q query) (Value, error) {
	first := c.preferred.Load()
	err := q.fail(KindUnavailable, merry.New("no address"))
	for i := range len(c.addresses) {
		turn := first + uint64(i)
		var value Value
		value, err = c.attempt(ctx, q, c.addresses[turn%uint64(len(c.addresses))])
		if err == nil || !err.elsewhere() || ctx.Err() != nil {
			c.preferred.CompareAndSwap(first, turn)
			return value, err.orNil()
		}
	}
	return Value{}, err
}

// elsewhere reports whether another address may answer better.
func (e *Error) elsewhere() bool {
	return e.Kind == KindUnavailable || e.Kind == KindMalformed || e.Kind == KindMismatch
}

// orNil returns e as an error that is nil when e is.
func (e *Error) orNil() error {
	if e == nil {
		return nil
	}
	return e
}

func (c *Client) attempt(ctx context.Context, q query, address string) (Value, *Error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return Value{}, q.fail(KindRateLimited, err)
	}
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, q.deadline(now))
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: q.path, RawQuery: q.parameters(now)}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), onceBody{})
	if err != nil {
		return Value{}, q.fail(KindUnavailable, err)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		// What silenced this connection may have silenced the idle ones too.
		c.http.CloseIdleConnections()
		return Value{}, q.fail(KindUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return q.decode(resp)
}

// parameters returns the URL query for a request that leaves at now.
func (q query) parameters(now time.Time) string {
	if !q.watch {
		return ""
	}
	wait := max(0, q.until.Sub(now))
	return url.Values{
		"after":      {strconv.FormatUint(q.after, 10)},
		"waitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}.Encode()
}
