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

// hopHeaders are the header fields that belong to one connection.
var hopHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns the header fields that pass between caller and target.
func endToEnd(h http.Header) http.Header {
	kept := h.Clone()
	for _, line := range h.Values("Connection") {
		for field := range strings.SplitSeq(line, ",") {
			kept.Del(strings.TrimSpace(field))
		}
	}
	for _, field := range hopHeaders {
		kept.Del(field)
	}
	for field := range kept {
		if strings.HasPrefix(field, headerPrefix) {
			delete(kept, field)
		}
	}
	return kept
}

func bearerKey(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return ""
	}
	return key
}
