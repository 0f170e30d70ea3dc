package fftarget

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// Headers between a daemon and its target.
const (
	headerPrefix    = "Fireflyfall-"
	callIDHeader    = headerPrefix + "Call-Id"
	customerHeader  = headerPrefix + "Customer"
	remainingHeader = headerPrefix + "Remaining-Millis"
	outcomeHeader   = headerPrefix + "Outcome"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// request returns the HTTP request for call.
func (c *Client) request(ctx context.Context, call *ffcall.Call) (*http.Request, error) {
	target, err := url.ParseRequestURI(call.Path)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(call.Path, "/") {
		return nil, merry.Errorf("path %q does not start with a slash", call.Path)
	}
	target.Scheme = "http"
	target.Host = c.settings.Address
	r, err := http.NewRequestWithContext(ctx, call.Method, target.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	r.URL = target
	r.Header = header(call)
	return r, nil
}

// header returns the header that the target receives: the end-to-end headers of
// the call without the Fireflyfall- headers of the caller, plus the daemon's own.
func header(call *ffcall.Call) http.Header {
	h := endToEnd(call.Header)
	for name := range h {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), headerPrefix) {
			delete(h, name)
		}
	}
	if h.Get("User-Agent") == "" {
		h.Set("User-Agent", "")
	}
	setHeader(h, callIDHeader, call.ID)
	setHeader(h, customerHeader, call.Customer)
	if !call.Deadline.IsZero() {
		remaining := max(0, time.Until(call.Deadline))
		h.Set(remainingHeader, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	return h
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// endToEnd returns a copy of h without hop-by-hop headers, including those that
// Connection lists.
func endToEnd(h http.Header) http.Header {
	kept := h.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}
