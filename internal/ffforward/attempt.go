package ffforward

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// result is the reply or the error of an attempt.
type result struct {
	reply *ffcall.Reply
	err   error
}

// attempt sends one call over one connection.
type attempt struct {
	pool   *pool
	from   string
	vm     ffmember.VM
	call   *ffcall.Call
	conn   *conn
	result chan result
}

// run sends the call, waits for the complete response and sends its result to
// a.result. It returns a working connection to the pool and closes a broken one.
func (a *attempt) run(ctx context.Context) {
	client := ffprotocol.NewDRPCCallServiceClient(a.conn)
	r, err := client.Forward(ctx, requestOf(a.call, a.from, a.conn, time.Now()))
	if err != nil {
		_ = a.conn.Close()
		a.result <- result{err: &ffcall.Error{Op: "forward", Kind: ffcall.KindUnreachable, Err: err}}
		return
	}
	reply, err := replyOf(a.call.ID, r, time.Now())
	if err != nil && connectionFailed(err) {
		_ = a.conn.Close()
	} else {
		a.pool.put(a.vm.ForwardAddress, a.conn)
	}
	a.result <- result{reply: reply, err: err}
}
