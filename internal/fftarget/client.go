// Package fftarget calls the target on the daemon's VM. The error of a failed call
// states whether the call provably did not run.
package fftarget

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/semaphore"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

const (
	// idleTimeout is how long an idle connection is kept. It is meant to end before
	// the target closes the connection.
	idleTimeout = 4 * time.Second
	// maxHeaderBytes is the maximum size of a response header, in bytes.
	maxHeaderBytes = 64 << 10
	// defaultMaxReplyBytes is the default maximum size of a response body, in bytes.
	defaultMaxReplyBytes = 64 << 20
	// defaultMaxReplyMemory is the default maximum size of all response bodies that are
	// being read, in bytes.
	defaultMaxReplyMemory = 256 << 20
)

// Settings configures a Client.
type Settings struct {
	// Address is the host and port of the target.
	Address string
	// MaxConnections is the maximum number of connections to the target; zero means
	// no limit.
	MaxConnections int
	// MaxReplyBytes is the maximum size of a response body; zero means 64 MiB.
	MaxReplyBytes int64
	// MaxReplyMemory is the maximum size of all response bodies that are being read;
	// zero means 256 MiB.
	MaxReplyMemory int64
	// ProbePath is the path of the health check, which responds with a 2xx status
	// if the target is ready. If empty, a target that accepts connections is ready.
	ProbePath string
}

// Client calls one target.
type Client struct {
	settings  Settings
	transport *http.Transport
	// replyMemory limits the response bodies that are being read.
	replyMemory *semaphore.Weighted
}

// NewClient returns a client without connections.
func NewClient(settings Settings) *Client {
	if settings.MaxReplyBytes <= 0 {
		settings.MaxReplyBytes = defaultMaxReplyBytes
	}
	if settings.MaxReplyMemory <= 0 {
		settings.MaxReplyMemory = defaultMaxReplyMemory
	}
	idle := settings.MaxConnections
	if idle <= 0 {
		idle = http.DefaultMaxIdleConnsPerHost
	}
	return &Client{
		settings:    settings,
		replyMemory: semaphore.NewWeighted(settings.MaxReplyMemory),
		transport: &http.Transport{
			DialContext:            dial,
			MaxConnsPerHost:        settings.MaxConnections,
			MaxIdleConnsPerHost:    idle,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends call to the target at most once and returns the complete response. Its
// errors are of type *ffcall.Error.
func (c *Client) Do(ctx context.Context, call *ffcall.Call) (*ffcall.Reply, error) {
	if !call.Deadline.IsZero() {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, call.Deadline)
		defer stop()
	}
	reply, failure := c.try(ctx, call)
	if failure != nil {
		return nil, failure
	}
	return reply, nil
}

// Probe returns an error if the target is not ready.
func (c *Client) Probe(ctx context.Context) error {
	if c.settings.ProbePath == "" {
		return c.probeConnection(ctx)
	}
	call := &ffcall.Call{Method: http.MethodGet, Path: c.settings.ProbePath}
	reply, err := c.Do(ctx, call)
	if err != nil {
		return ffcall.Refuse("probe", ffcall.KindNotReady, err)
	}
	if reply.Status/100 != http.StatusOK/100 {
		return ffcall.Refuse("probe", ffcall.KindNotReady, merry.Errorf("status %d", reply.Status))
	}
	return nil
}

func (c *Client) probeConnection(ctx context.Context) error {
	var d net.Dialer
	probe, err := d.DialContext(ctx, "tcp", c.settings.Address)
	if err != nil {
		return ffcall.Refuse("probe", ffcall.KindNotReady, err)
	}
	return probe.Close()
}
