package ffforward

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// mintTimeout bounds the wait for a token over one connection.
const mintTimeout = time.Second

// Mint asks the daemon of vm for a token, over a new connection when an idle one
// brings no answer. Its error is an *ffcall.Error.
func (c *Client) Mint(ctx context.Context, vm ffmember.VM, customer, route string) (string, error) {
	request := &ffprotocol.MintRequest{Customer: customer, Route: route}
	if idle := c.pool.take(vm.ForwardAddress, time.Now()); idle != nil {
		r, err := c.mintOver(ctx, idle, vm, request)
		if err == nil {
			return tokenOf(r)
		}
		c.pool.drop(vm.ForwardAddress)
	}
	made, err := c.dial(ctx, vm)
	if err != nil {
		return "", ffcall.Refuse("dial", ffcall.KindUnreachable, err)
	}
	r, err := c.mintOver(ctx, made, vm, request)
	if err != nil {
		return "", ffcall.Refuse("mint", ffcall.KindUnreachable, err)
	}
	return tokenOf(r)
}

// mintOver asks over one connection and gives it back when it works.
func (c *Client) mintOver(ctx context.Context, over *conn, vm ffmember.VM, request *ffprotocol.MintRequest) (*ffprotocol.MintResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, mintTimeout)
	defer cancel()
	r, err := ffprotocol.NewDRPCCallServiceClient(over).Mint(ctx, request)
	if err != nil {
		_ = over.Close()
		return nil, err
	}
	c.pool.put(vm.ForwardAddress, over)
	return r, nil
}

func tokenOf(r *ffprotocol.MintResponse) (string, error) {
	if r.GetRefusal() != 0 {
		return "", ffcall.Refuse("mint", ffcall.Kind(r.GetRefusal()), merry.New(r.GetReason()))
	}
	return r.GetToken(), nil
}
