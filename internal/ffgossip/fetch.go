package ffgossip

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffhop"
)

// Idle connections to peers.
const (
	fetchIdle = 10 * time.Second
	fetchKeep = 20 * time.Second
)

// fetch asks a peer for its word and calls progress whenever bytes come.
func fetch(ctx context.Context, pool *ffhop.Pool, has *Word, fleet fffleet.Fleet, progress func()) (*content, error) {
	conn, err := pool.Get(ctx, fetchIdle)
	if err != nil {
		return nil, err
	}
	e, err := conn.Start(ctx, &ffhop.Request{
		Method: http.MethodGet,
		URI:    ContentPath + "?" + have(has, fleet),
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
	c, err := decodeContent(ffhop.Moving(resp.Body, progress), has.Table)
	if err != nil {
		e.Abort()
		return nil, err
	}
	age, err := strconv.ParseInt(resp.Header.Get(ageHeader), 10, 64)
	if err != nil {
		e.Abort()
		return nil, &Error{Op: "read a word", Kind: KindDecode, Err: err}
	}
	c.Age = time.Duration(age)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		e.Abort()
		return nil, &Error{Op: "read a word", Kind: KindPull, Err: err}
	}
	if conn := e.Finish(resp); conn != nil {
		pool.Put(conn, time.Now().Add(fetchKeep))
	}
	return c, nil
}
