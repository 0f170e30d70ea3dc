package ffcaller

import (
	"net/http"
	"strings"
)

// Header fields of requests and answers.
const (
	headerToken         = "Fireflyfall-Token"
	headerTimeoutMillis = "Fireflyfall-Timeout-Millis"
	headerOutcome       = "Fireflyfall-Outcome"
	headerReason        = "Fireflyfall-Reason"
	headerCallID        = "Fireflyfall-Call-Id"
	headerNextToken     = "Fireflyfall-Next-Token"
	headerVersion       = "Fireflyfall-Version"
	headerRetry         = "Fireflyfall-Retry"
	headerPrefix        = "Fireflyfall-"
	bearerPrefix        = "Bearer "
)

// hopHeaders are the hop-by-hop header fields and others that are not forwarded.
var hopHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns the header fields that are forwarded between caller and target.
func endToEnd(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, line := range h.Values("Connection") {
		for field := range strings.SplitSeq(line, ",") {
			forwarded.Del(strings.TrimSpace(field))
		}
	}
	for _, field := range hopHeaders {
		forwarded.Del(field)
	}
	for field := range forwarded {
		if strings.HasPrefix(field, headerPrefix) {
			delete(forwarded, field)
		}
	}
	return forwarded
}

func bearerKey(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return ""
	}
	return key
}
