package ffforward

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// RequestOf exposes requestOf to tests.
func RequestOf(c *ffcall.Call, from string, incarnation uint64) *ffprotocol.ForwardRequest {
	now := time.Now()
	cn := &conn{incarnation: incarnation, clock: remoteClock{micros: clockMicros(now), receivedAt: now}}
	return requestOf(c, from, cn, now)
}

// ReplyOf exposes replyOf to tests.
func ReplyOf(callID string, r *ffprotocol.ForwardResponse) (*ffcall.Reply, error) {
	return replyOf(callID, r, time.Now())
}

// LookUp exposes lookUp to tests.
func (c *Client) LookUp(ctx context.Context, vm ffmember.VM, call *ffcall.Call, incarnation uint64) error {
	r, _, err := c.lookUp(ctx, &attempt{vm: vm, call: call}, incarnation)
	if err != nil {
		return err
	}
	return r.err
}
