package ffgossip_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffgossip"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// TestContentEncodedOnce checks that every peer that needs an update gets the same
// bytes with the current age, and that a later change is served after it.
func TestContentEncodedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &ffgossip.State{}
		offer := func(revision, version uint64) {
			table := &ffroute.Table{Version: version}
			table.Index()
			s.Merge(ffgossip.Reading{From: "test", Revision: ffgossip.Revision{Number: revision}, ConfirmedAt: time.Now(), Table: table, Fleet: fffleet.New([]fffleet.Target{{ID: fmt.Sprint("t", version), Service: "s"}})})
		}
		h := &ffgossip.ContentHandler{State: s}
		get := func() (body, age string) {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, ffgossip.ContentPath+"?version=1&targets=0", http.NoBody))
			return w.Body.String(), w.Header().Get("Fireflyfall-Age")
		}
		offer(1, 1)
		offer(2, 2)
		first, firstAge := get()
		time.Sleep(time.Second)
		if again, age := get(); again != first || age == firstAge {
			t.Errorf("got %s of age %s, first %s of age %s", again, age, first, firstAge)
		}
		offer(3, 3)
		if next, _ := get(); next == first {
			t.Error("the later change was not served")
		}
	})
}
