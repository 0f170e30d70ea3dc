package ffpeer

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

const (
	// exchangeTimeout bounds an exchange of summaries.
	exchangeTimeout = time.Second
	// firstAttemptDivisor divides the timeout of a call. After that part of it, the
	// call is repeated on a new connection, because the peer may no longer respond on
	// the open ones.
	firstAttemptDivisor = 3
	// transferTimeout bounds the transfer of a manifest, of pieces or of buckets.
	transferTimeout = 3 * time.Second
)

// Client calls the configuration service of other daemons, given by address.
type Client struct {
	Pool *Pool
}

// Exchange sends a summary of this daemon's state and returns that of the peer.
func (c *Client) Exchange(ctx context.Context, address string, in *ffprotocol.ExchangeRequest) (*ffprotocol.ExchangeResponse, error) {
	return call(ctx, c, "exchange", address, exchangeTimeout, in, ffprotocol.DRPCConfigurationServiceClient.Exchange)
}

// Manifest returns the manifest that is active on the peer.
func (c *Client) Manifest(ctx context.Context, address string, in *ffprotocol.ManifestRequest) (*ffprotocol.ManifestResponse, error) {
	return call(ctx, c, "manifest", address, transferTimeout, in, ffprotocol.DRPCConfigurationServiceClient.Manifest)
}

// Pieces returns the requested pieces that the peer has.
func (c *Client) Pieces(ctx context.Context, address string, in *ffprotocol.PiecesRequest) (*ffprotocol.PiecesResponse, error) {
	return call(ctx, c, "pieces", address, transferTimeout, in, ffprotocol.DRPCConfigurationServiceClient.Pieces)
}

// List returns the buckets of the peer's VM list that differ.
func (c *Client) List(ctx context.Context, address string, in *ffprotocol.ListRequest) (*ffprotocol.ListResponse, error) {
	return call(ctx, c, "list", address, transferTimeout, in, ffprotocol.DRPCConfigurationServiceClient.List)
}

type method[In, Out any] func(ffprotocol.DRPCConfigurationServiceClient, context.Context, In) (Out, error)

// call runs one method with a deadline. All methods are read-only, so a call that
// fails on an open connection can be repeated on a new one.
func call[In, Out any](ctx context.Context, c *Client, op, address string, timeout time.Duration, in In, do method[In, Out]) (Out, error) {
	var none Out
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	first := time.Now().Add(time.Until(deadline) / firstAttemptDivisor)
	out, err := attempt(ctx, c, address, first, in, do)
	if err != nil && c.Pool.CloseIdle(address) && ctx.Err() == nil {
		out, err = attempt(ctx, c, address, deadline, in, do)
	}
	if err != nil {
		return none, &Error{Op: op, Kind: KindCall, Address: address, Err: err}
	}
	return out, nil
}

func attempt[In, Out any](ctx context.Context, c *Client, address string, deadline time.Time, in In, do method[In, Out]) (Out, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := c.Pool.Conn(ctx, address)
	if err != nil {
		var none Out
		return none, err
	}
	defer func() { _ = conn.Close() }()
	return do(ffprotocol.NewDRPCConfigurationServiceClient(conn), ctx, in)
}
