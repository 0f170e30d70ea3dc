package ffgossip

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffhop"
)

// Idle connections to peers: one is reused only if idle for at most maxConnIdle,
// and discarded after idleConnTimeout.
const (
	maxConnIdle     = 10 * time.Second
	idleConnTimeout = 20 * time.Second
)

// fetch pulls the snapshot of a peer, given what this daemon holds, and calls
// progress whenever bytes arrive.
func fetch(ctx context.Context, pool *ffhop.Pool, current *Snapshot, fleet fffleet.Fleet, progress func()) (*update, error) {
	conn, err := pool.Get(ctx, maxConnIdle)
	if err != nil {
		return nil, err
	}
	e, err := conn.Start(ctx, &ffhop.Request{
		Method: http.MethodGet,
		URI:    ContentPath + "?" + pullQuery(current, fleet),
		Host:   pool.Address,
		Header: http.Header{},
	})
	if err != nil {
		return nil, err
	}
	resp, err := e.Receive()
	if err != nil {
		return nil, err
	}
	c, err := decodeUpdate(ffhop.WithProgress(resp.Body, progress), current.Table)
	if err != nil {
		e.Abort()
		return nil, err
	}
	if err := c.decodeHeader(resp.Header); err != nil {
		e.Abort()
		return nil, err
	}
	if err := e.Drain(resp); err != nil {
		e.Abort()
		return nil, &Error{Op: "read a snapshot", Kind: KindPull, Err: err}
	}
	if conn := e.Finish(resp); conn != nil {
		pool.Put(conn, time.Now().Add(idleConnTimeout))
	}
	return c, nil
}

// decodeHeader sets the fields of c that are sent in the header.
func (c *update) decodeHeader(h http.Header) error {
	age, err := strconv.ParseInt(h.Get(ageHeader), 10, 64)
	if err != nil {
		return &Error{Op: "read a snapshot", Kind: KindDecode, Err: err}
	}
	c.Age = time.Duration(age)
	if value := h.Get(revisionHeader); value != "" {
		if c.Revision, err = ParseRevision(value); err != nil {
			return err
		}
	}
	value := h.Get(heldHeader)
	if value == "" {
		return nil
	}
	held, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return &Error{Op: "read a snapshot", Kind: KindDecode, Err: err}
	}
	c.Held = min(time.Duration(held), expiryGrace)
	return nil
}
