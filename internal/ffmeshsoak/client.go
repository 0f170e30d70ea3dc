package ffmeshsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

const (
	// clientWait is how long a client waits for an answer.
	clientWait = 1500 * time.Millisecond
	// clientPause is the mean pause between two requests of a client.
	clientPause = 25 * time.Millisecond
	// downPause is the pause after a daemon could not be reached.
	downPause = 40 * time.Millisecond
	// longBody is the length of an upload, in bytes.
	longBody = 40 << 10
	// oneIn are the odds of a request of each other kind.
	onceOneIn, longOneIn, versionOneIn = 3, 9, 8
)

// client sends requests to the daemon of one VM, on a connection that it keeps
// until the other end closes it.
type client struct {
	name string
	vm   int
	at   string
	f    *fleet
	out  *recorder
	http http.Client
	rand *rand.Rand
	sent int
}

// run sends one request after the other until ctx ends.
func (c *client) run(ctx context.Context) {
	c.http.Transport = &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		pause := time.Duration(c.rand.Int64N(int64(2 * clientPause)))
		if !c.send() {
			pause += downPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// next draws the next request.
func (c *client) next() (a Attempt, method, path, body string) {
	c.sent++
	a = Attempt{ID: fmt.Sprint(c.name, "-", c.sent), VM: c.vm}
	switch {
	case c.rand.IntN(versionOneIn) == 0:
		a.Version = c.f.latest()
		return a, http.MethodGet, "/" + routeOf(a.Version) + "/x", ""
	case c.rand.IntN(onceOneIn) == 0:
		a.Once = true
		if c.rand.IntN(longOneIn) == 0 {
			body = strings.Repeat("b", longBody)
		}
		return a, http.MethodPost, "/once/x", body
	}
	return a, http.MethodGet, "/safe/x", ""
}

// send sends one request and reports whether an answer came.
func (c *client) send() bool {
	a, method, path, body := c.next()
	ctx, cancel := context.WithTimeout(context.Background(), clientWait)
	defer cancel()
	r, err := ffstandin.NewRequest(ctx, method, c.at, path, a.ID, clientWait, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	// A client sends a request once; what it repeats has an ID of its own.
	r.GetBody = nil
	a.Sent = time.Now()
	resp, err := c.http.Do(r)
	if err == nil {
		b, failed := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if failed == nil {
			a.Status, a.Body, a.Signer = resp.StatusCode, string(b), c.signer(resp.Header, a.ID)
		}
	}
	a.Ended = time.Now()
	c.out.attempt(a)
	return a.Status != 0
}

// signer returns the target whose signature an answer bears; none when it is not right.
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
