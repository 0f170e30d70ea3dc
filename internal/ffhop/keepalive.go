package ffhop

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// KeepAliveTimeout returns how long an idle connection may be reused: 70 percent of the
// timeout in the response's Keep-Alive header, or fallback if there is none.
func KeepAliveTimeout(resp *http.Response, fallback time.Duration) time.Duration {
	for _, line := range resp.Header["Keep-Alive"] {
		for part := range strings.SplitSeq(line, ",") {
			value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
			if !ok {
				continue
			}
			if s, err := strconv.Atoi(value); err == nil && s >= 0 {
				return time.Duration(s) * time.Second * 7 / 10
			}
		}
	}
	return fallback
}
