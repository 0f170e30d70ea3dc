package ffmeshsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

const (
	// clientTimeout is the time limit of a request.
	clientTimeout = 1500 * time.Millisecond
	// clientPause is the mean pause between two requests of a client.
	clientPause = 25 * time.Millisecond
	// failurePause is added to the pause after a request without a complete response.
	failurePause = 40 * time.Millisecond
	// uploadBytes is the body size of an upload, in bytes, and streamedBytes that of one
	// which daemons do not hold in memory. Every other one of these is sent in chunks.
	uploadBytes   = 40 << 10
	streamedBytes = ffmesh.MaxBufferedBody + 1
	// One request in versionOneIn uses the route of the latest version, one in onceOneIn
	// of the others must run at most once, and one in longOneIn of those is an upload, of
	// which one in streamedOneIn has streamedBytes.
	onceOneIn, longOneIn, streamedOneIn, versionOneIn = 3, 9, 3, 8
	// One of the other requests in longAnswerOneIn gets a long answer, and the clients of
	// one in leaveOneIn of these leave within maxStay.
	longAnswerOneIn, leaveOneIn = 12, 2
	maxStay                     = 2 * workTime
)

// client sends requests to the daemon of one VM and reuses its connection until the
// daemon closes it.
type client struct {
	name     string
	vm       int
	address  string
	f        *fleet
	recorder *recorder
	http     http.Client
	rand     *rand.Rand
	// lengths decides what is long and who leaves. It is apart from rand, so that what
	// rand decides for a seed stays the same.
	lengths *rand.Rand
	sent    int
}

// run sends requests one after another until ctx ends.
func (c *client) run(ctx context.Context) {
	c.http.Transport = &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		pause := time.Duration(c.rand.Int64N(int64(2 * clientPause)))
		if !c.send() {
			pause += failurePause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// request is what a client sends.
type request struct {
	method, path, body string
	// chunked leaves out the length of the body.
	chunked bool
	// stay is how long the client waits for the response.
	stay time.Duration
}

// next returns the next random request.
func (c *client) next() (Attempt, request) {
	c.sent++
	a := Attempt{ID: fmt.Sprint(c.name, "-", c.sent), VM: c.vm}
	r := request{method: http.MethodGet, path: "/safe/x", stay: clientTimeout}
	switch {
	case c.rand.IntN(versionOneIn) == 0:
		a.Version = c.f.latestVersion()
		r.path = "/" + routeOf(a.Version) + "/x"
	case c.rand.IntN(onceOneIn) == 0:
		a.Once = true
		r.method, r.path = http.MethodPost, "/once/x"
		if c.rand.IntN(longOneIn) == 0 {
			r.body = strings.Repeat(a.ID, uploadBytes/len(a.ID))
			if c.lengths.IntN(streamedOneIn) == 0 {
				r.body, r.chunked = strings.Repeat(a.ID, streamedBytes/len(a.ID)+1)[:streamedBytes], c.sent%2 == 0
			}
		}
	case c.lengths.IntN(longAnswerOneIn) == 0:
		r.path = longAnswerPath
		if c.lengths.IntN(leaveOneIn) == 0 {
			a.Left, r.stay = true, time.Duration(c.lengths.Int64N(int64(maxStay)))
		}
	}
	a.Sum = sumOf(r.body)
	return a, r
}

// sumOf returns the checksum of a body; 0 if it is empty.
func sumOf(body string) uint64 {
	if body == "" {
		return 0
	}
	return xxhash.Sum64String(body)
}

// send sends one request, records it and reports whether a complete response arrived.
func (c *client) send() bool {
	a, q := c.next()
	ctx, cancel := context.WithTimeout(context.Background(), q.stay)
	defer cancel()
	var body io.Reader = strings.NewReader(q.body)
	if q.chunked {
		body = struct{ io.Reader }{body}
	}
	r, err := ffstandin.NewRequest(ctx, q.method, c.address, q.path, a.ID, clientTimeout, body)
	if err != nil {
		panic(err)
	}
	// Without GetBody, net/http cannot replay the body on another connection: a client must
	// send each request ID only once.
	r.GetBody = nil
	a.Sent = time.Now()
	resp, err := c.http.Do(r)
	if err == nil {
		b, failed := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if failed == nil {
			a.Status, a.Body, a.Signer = resp.StatusCode, string(b), c.signer(resp.Header, a.ID)
			if a.Body == longAnswer(a.ID) {
				a.Body = a.ID
			}
			a.Limited, a.Leaving = ffstandin.NamesLimit(resp.Header), ffstandin.SaysLeaving(resp.Header)
		}
	}
	a.Ended = time.Now()
	c.recorder.addAttempt(a)
	return a.Status != 0
}

// signer returns the ID of the target that signed the response, or "" without a valid
// signature.
func (c *client) signer(h http.Header, id string) string {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	for _, t := range c.f.targets {
		if ffstandin.Signed(h, t.ID, id) {
			return t.ID
		}
	}
	return ""
}
