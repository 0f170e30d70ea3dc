package ffproof_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

const (
	// floodCallers is the number of callers that call in a loop without a pause.
	floodCallers = 40
	// hugeBodyBytes is the size of a body far above the limit of the contract.
	hugeBodyBytes = 64 << 20
	// slowConnections is the number of callers with huge bodies, and of connections
	// that write or read slowly.
	slowConnections = 40
	// idleConnections is the number of connections without a request.
	idleConnections = 1500
	// slowAnswerBytes is the size of an answer that is not read.
	slowAnswerBytes = 8 << 20
)

// badCaller misbehaves in one way until the script ends. Each of its calls
// has a unique path.
type badCaller struct {
	ctx     context.Context
	address string
	key     string
	sent    *atomic.Int64
}

func (c *badCaller) path(route string) string {
	return fmt.Sprintf("/%s/careless-%d", route, c.sent.Add(1))
}

// misbehaviours are the number of callers and the action that each repeats, by the
// kind in the script.
var misbehaviours = map[string]struct {
	callers int
	do      func(*badCaller)
}{
	"flood":       {floodCallers, (*badCaller).flood},
	"bodies":      {slowConnections, (*badCaller).hugeBody},
	"slowWriting": {slowConnections, (*badCaller).writeSlowly},
	"slowReading": {slowConnections, (*badCaller).readSlowly},
	"connections": {idleConnections, (*badCaller).stayIdle},
}

// run repeats do until the script ends.
func (c *badCaller) run(do func(*badCaller)) {
	for c.ctx.Err() == nil {
		do(c)
	}
}

func (s *script) careless(args []string) error {
	c, err := s.newCall(append([]string{"careless"}, args[:2]...))
	if err != nil {
		return err
	}
	m, ok := misbehaviours[args[2]]
	if !ok {
		return merry.Errorf("unknown misbehaviour %q", args[2])
	}
	for range m.callers {
		caller := &badCaller{ctx: s.ctx, address: c.client.Addresses[0], key: c.client.Key, sent: &s.carelessSent}
		s.callers.Go(func() { caller.run(m.do) })
	}
	return nil
}

func (c *badCaller) post(path string, body io.Reader) {
	r, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+c.address+path, body)
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	answer, err := carelessHTTP.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
}

func (c *badCaller) flood() { c.post(c.path("deposit"), strings.NewReader("x")) }

// carelessDialer connects from an address that only careless callers use.
var carelessDialer = &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}

// carelessHTTP sends the requests of careless callers.
var carelessHTTP = &http.Client{Transport: &http.Transport{DialContext: carelessDialer.DialContext}}

// zeros is a reader without an end, for bodies.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func (c *badCaller) hugeBody() { c.post(c.path("deposit"), io.LimitReader(zeros{}, hugeBodyBytes)) }

// open opens a connection, sends head and calls hold, then closes the connection.
// The end of the script closes it too.
func (c *badCaller) open(head string, hold func(net.Conn)) {
	conn, err := carelessDialer.DialContext(c.ctx, "tcp", c.address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(c.ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, head); err == nil {
		hold(conn)
	}
}

// awaitEnd reads until the connection is closed.
func awaitEnd(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

func (c *badCaller) stayIdle() { c.open("", awaitEnd) }

func (c *badCaller) writeSlowly() {
	c.open(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer %s\r\nContent-Length: 4000\r\n\r\nx", c.path("deposit"), c.key), awaitEnd)
}

func (c *badCaller) readSlowly() {
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer %s\r\nStand-Answer-Bytes: %d\r\n\r\n", c.path("lookup"), c.key, slowAnswerBytes)
	c.open(head, func(net.Conn) { <-c.ctx.Done() })
}
