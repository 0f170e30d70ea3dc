package ffsoak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/internal/ffgenerator"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
	"fireflyfall.dev/fireflyfall/pkg/ffclient"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// keyField is the query field that carries the key of a call, so that the target records it.
	keyField = "soak"
	// callTimeout is the time after which a caller stops waiting.
	callTimeout = 12 * time.Second
	// answerBytes is the size of the answers, large enough to be cut off midway.
	answerBytes = 4096
)

// load generates the calls of a soak; sources maps the names of the generator's
// streams.
type load struct {
	streams    []ffgenerator.Stream
	duplicates *duplicates
	sources    map[string]source
}

// source is a stream of the profile at one daemon.
type source struct {
	stream stream
	entry  string
}

// newLoad returns a stream of the generator for each stream of the profile and
// each daemon, so that the entry of each call is known.
func newLoad(p profile, nodes []*ffdeployment.Node, keys map[string]string) *load {
	l := &load{sources: make(map[string]source)}
	l.duplicates = newDuplicates(p.Twins, nodes, keys)
	for _, s := range p.Streams {
		for i, n := range nodes {
			name := s.Name + "@" + n.VM.Name
			c := &ffclient.Client{Key: keys[s.Customer], HTTP: ffgenerator.NewHTTPClient(), Addresses: []string{n.CallerAddress}}
			entry := n.VM.Name
			if s.Once != "" {
				entry = ""
				c.Addresses = addressesFrom(nodes, i)
			}
			l.sources[name] = source{stream: s, entry: entry}
			l.streams = append(l.streams, ffgenerator.Stream{
				Name: name, Client: c, Request: s.request(), RequestFor: withKey(name), Timeout: callTimeout,
				Rate: s.Rate / float64(len(nodes)), OnceRoute: s.Once,
			})
		}
	}
	return l
}

func newDuplicates(s stream, nodes []*ffdeployment.Node, keys map[string]string) *duplicates {
	t := &duplicates{
		source: source{stream: s},
		client: &ffclient.Client{Key: keys[s.Customer], HTTP: ffgenerator.NewHTTPClient(), Addresses: addressesFrom(nodes, 0)},
	}
	for _, n := range nodes {
		t.entries = append(t.entries, n.VM.Name)
	}
	return t
}

func addressesFrom(nodes []*ffdeployment.Node, first int) []string {
	var addresses []string
	for i := range nodes {
		addresses = append(addresses, nodes[(first+i)%len(nodes)].CallerAddress)
	}
	return addresses
}

func (s stream) request() ffclient.Request {
	r := ffclient.Request{Method: s.Method, Path: s.Path, Header: http.Header{}}
	r.Header.Set("Stand-Answer-Bytes", fmt.Sprint(answerBytes))
	if s.Crash {
		r.Header.Set("Stand-Crash", ffstand.CrashConnection.String())
	}
	return r
}

// withKey returns a function that gives each call of a stream its own key.
func withKey(name string) func(uint64, ffclient.Request) ffclient.Request {
	return func(n uint64, r ffclient.Request) ffclient.Request {
		return keyedRequest(r, fmt.Sprintf("%s-%d", name, n))
	}
}

// keyOf returns the key in the path of a call; empty if there is none.
func keyOf(path string) string {
	_, key, _ := strings.Cut(path, "?"+keyField+"=")
	return key
}

// calls returns the recorded calls, ordered by start.
func (l *load) calls(results []*ffgenerator.Result) []Call {
	var calls []Call
	for _, r := range results {
		for _, c := range r.Calls() {
			calls = append(calls, l.sources[r.Name].call(c))
		}
	}
	return sorted(calls, l.duplicates.calls)
}

func (s source) call(c ffgenerator.Call) Call {
	call := Call{
		Key: keyOf(c.Request.Path), Customer: s.stream.Customer, Method: c.Request.Method, Path: s.stream.Path,
		Entry: s.entry, Idempotent: s.stream.Idempotent, Token: s.stream.Once != "", Crash: s.stream.Crash, Started: c.Started, Ended: c.Ended,
		Deadline:   c.Started.Add(time.Duration(s.stream.TimeoutMillis) * time.Millisecond),
		BodyDigest: ffconfig.DigestOf(c.Request.Body), Outcome: ffclient.OutcomeUnknown,
	}
	var e *ffclient.Error
	if errors.As(c.Err, &e) {
		call.Outcome = e.Outcome
	}
	if c.Err != nil {
		call.Failure = c.Err.Error()
	}
	if a := c.Answer; a != nil {
		call.setAnswer(a)
	}
	return call
}

// setAnswer copies the fields of an answer to the call.
func (c *Call) setAnswer(a *ffclient.Answer) {
	c.Outcome = a.Outcome
	c.Status = a.Status
	c.Reason = a.Reason
	c.CallID = a.CallID
	c.Version = a.Version
	c.AnswerDigest = ffconfig.DigestOf(a.Body)
	var answer ffstand.Answer
	if a.Status == http.StatusOK && json.Unmarshal(a.Body, &answer) == nil {
		c.Answer = &answer
	}
}
