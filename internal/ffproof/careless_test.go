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
	// floodCallers is the number of callers that a careless customer lets loose.
	floodCallers = 40
	// hugeBodyBytes is the size of a body far above the contract, in bytes.
	hugeBodyBytes = 64 << 20
	// slowConnections is the number of connections that write or read slowly.
	slowConnections = 40
	// silentConnections is the number of connections without a request.
	silentConnections = 1500
	// slowAnswerBytes is the size of an answer that is not read, in bytes.
	slowAnswerBytes = 8 << 20
)

// careless is a caller that misbehaves in one way until the script ends. Each of
// its calls has a path of its own.
type careless struct {
	end     context.Context
	address string
	key     string
	sent    *atomic.Int64
}

func (c *careless) path(route string) string {
	return fmt.Sprintf("/%s/careless-%d", route, c.sent.Add(1))
}

// misbehaviours are what one caller does again and again, or for good.
var misbehaviours = map[string]struct {
	callers int
	do      func(*careless)
}{
	"flood":       {floodCallers, (*careless).flood},
	"bodies":      {slowConnections, (*careless).hugeBody},
	"slowWriting": {slowConnections, (*careless).writeSlowly},
	"slowReading": {slowConnections, (*careless).readSlowly},
	"connections": {silentConnections, (*careless).keepSilent},
}

// run misbehaves until the script ends.
func (c *careless) run(do func(*careless)) {
	for c.end.Err() == nil {
		do(c)
	}
}

func (s *stage) careless(args []string) error {
	c, err := s.newCall(append([]string{"careless"}, args[:2]...))
	if err != nil {
		return err
	}
	m, ok := misbehaviours[args[2]]
	if !ok {
		return merry.Errorf("no misbehaviour %q", args[2])
	}
	for range m.callers {
		one := &careless{end: s.end, address: c.client.Addresses[0], key: c.client.Key, sent: &s.carelessSent}
		s.loops.Go(func() { one.run(m.do) })
	}
	return nil
}

func (c *careless) post(path string, body io.Reader) {
	r, err := http.NewRequestWithContext(c.end, http.MethodPost, "http://"+c.address+path, body)
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

func (c *careless) flood() { c.post(c.path("deposit"), strings.NewReader("x")) }

// carelessDialer connects from the careless customer's own address.
var carelessDialer = &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}

// carelessHTTP carries the requests of careless callers.
var carelessHTTP = &http.Client{Transport: &http.Transport{DialContext: carelessDialer.DialContext}}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func (c *careless) hugeBody() { c.post(c.path("deposit"), io.LimitReader(zeros{}, hugeBodyBytes)) }

// open sends some bytes and keeps the connection until the daemon closes it or
// the script ends.
func (c *careless) open(head string, keep func(net.Conn)) {
	conn, err := carelessDialer.DialContext(c.end, "tcp", c.address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(c.end, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, head); err == nil {
		keep(conn)
	}
}

// awaitEnd reads until the connection ends.
func awaitEnd(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

func (c *careless) keepSilent() { c.open("", awaitEnd) }

func (c *careless) writeSlowly() {
	c.open(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer %s\r\nContent-Length: 4000\r\n\r\nx", c.path("deposit"), c.key), awaitEnd)
}

func (c *careless) readSlowly() {
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer %s\r\nStand-Answer-Bytes: %d\r\n\r\n", c.path("lookup"), c.key, slowAnswerBytes)
	c.open(head, func(net.Conn) { <-c.end.Done() })
}
