// Package fftarget calls the target beside the daemon, and tells of each call
// that got no answer whether it provably did not run.
package fftarget

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

const (
	// idleTimeout closes connections without calls, before the target does.
	idleTimeout = 4 * time.Second
	// maxHeaderBytes bounds the header of an answer, in bytes.
	maxHeaderBytes = 64 << 10
	// defaultMaxReplyBytes bounds the body of an answer, in bytes.
	defaultMaxReplyBytes = 64 << 20
)

// Settings are the properties of the target.
type Settings struct {
	// Address is the host and port of the target.
	Address string
	// Connections bounds the connections to the target; zero sets no bound.
	Connections int
	// MaxReplyBytes bounds the body of an answer; zero stands for 64 MiB.
	MaxReplyBytes int64
	// ProbePath answers with a 2xx status when the target is ready; when empty,
	// a target that accepts connections is ready.
	ProbePath string
}

// Client calls one target.
type Client struct {
	settings  Settings
	transport *http.Transport
}

// NewClient returns a client without connections.
func NewClient(settings Settings) *Client {
	if settings.MaxReplyBytes <= 0 {
		settings.MaxReplyBytes = defaultMaxReplyBytes
	}
	idle := settings.Connections
	if idle <= 0 {
		idle = http.DefaultMaxIdleConnsPerHost
	}
	return &Client{
		settings: settings,
		transport: &http.Transport{
			DialContext:            dial,
			MaxConnsPerHost:        settings.Connections,
			MaxIdleConnsPerHost:    idle,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		},
	}
}

// Close closes the connections that carry no call.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends call to the target at most once and returns the whole answer. Its
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

// Probe returns an error when the target is not ready.
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
