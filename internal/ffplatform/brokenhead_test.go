package ffplatform_test

import (
	"fmt"
	"net/http"
	"testing"

	"fireflyfall.dev/fireflyfall/internal/ffplatform"
)

// TestBrokenHead checks that a response whose head is not valid is no value: one with a blank
// behind the name of a header, and one with status 000.
func TestBrokenHead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nPlatform-Revision : 5\r\n",
		"HTTP/1.1 200 OK\r\nPlatform-Revision: 5\r\nTransfer-Encoding : chunked\r\n",
		"HTTP/1.1 000 OK\r\nPlatform-Revision: 5\r\n",
	} {
		address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = c.Close() }()
			fmt.Fprintf(c, "%sContent-Length: 2\r\n\r\n[]", head)
		}))
		list, err := connect(t, &countingLimiter{}, address).VMs(t.Context())
		if err == nil || ffplatform.KindOf(err) != ffplatform.KindMalformed {
			t.Errorf("%q: list %+v, error %v", head, list, err)
		}
	}
}
