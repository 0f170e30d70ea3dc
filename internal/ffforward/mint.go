package ffforward

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// mintTimeout is the timeout for a token request over one connection.
const mintTimeout = time.Second

// Mint requests a token from the daemon of vm. If an idle connection gives no
// response, it retries over a new one. Its error is an *ffcall.Error.
func (c *Client) Mint(ctx context.Context, vm ffmember.VM, customer, route string) (string, error) {
	request := &ffprotocol.MintRequest{Customer: customer, Route: route}
	if idle := c.pool.take(vm.ForwardAddress, time.Now()); idle != nil {
		r, err := c.mintOver(ctx, idle, vm, request)
		if err == nil {
			return tokenOf(r)
		}
		c.pool.drop(vm.ForwardAddress)
	}
	cn, err := c.dial(ctx, vm)
	if err != nil {
		return "", ffcall.Refuse("dial", ffcall.KindUnreachable, err)
	}
	r, err := c.mintOver(ctx, cn, vm, request)
	if err != nil {
		return "", ffcall.Refuse("mint", ffcall.KindUnreachable, err)
	}
	return tokenOf(r)
}

// mintOver requests a token over one connection. It returns the connection to the
// pool, or closes it on an error.
func (c *Client) mintOver(ctx context.Context, cn *conn, vm ffmember.VM, request *ffprotocol.MintRequest) (*ffprotocol.MintResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, mintTimeout)
	defer cancel()
	r, err := ffprotocol.NewDRPCCallServiceClient(cn).Mint(ctx, request)
	if err != nil {
		_ = cn.Close()
		return nil, err
	}
	c.pool.put(vm.ForwardAddress, cn)
	return r, nil
}

func tokenOf(r *ffprotocol.MintResponse) (string, error) {
	if r.GetRefusal() != 0 {
		return "", ffcall.Refuse("mint", ffcall.Kind(r.GetRefusal()), merry.New(r.GetReason()))
	}
	return r.GetToken(), nil
}
