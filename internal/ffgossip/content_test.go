package ffgossip

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// TestRevisionOfCachedContent guards against content that is sent with the revision at
// which it was encoded, though it was confirmed at a later one: who pulls it would take
// itself for behind and read the store.
func TestRevisionOfCachedContent(t *testing.T) {
	s := &State{}
	s.Merge(Reading{Revision: Revision{Number: 146}, ConfirmedAt: time.Now(), Table: (&ffroute.Table{Version: 1}).Index()})
	h := &ContentHandler{State: s}
	pull := func() *update {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, ContentPath+"?"+pullQuery(&Snapshot{}, fffleet.Fleet{}), http.NoBody))
		c, err := decodeUpdate(w.Body, nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.decodeHeader(w.Header()); err != nil {
			t.Fatal(err)
		}
		return c
	}
	if c := pull(); c.Revision.Number != 146 {
		t.Errorf("revision %v", c.Revision)
	}
	s.Confirm(Revision{Number: 150}, time.Now().Add(time.Second))
	if c := pull(); c.Revision.Number != 150 {
		t.Errorf("revision %v of content confirmed at 150", c.Revision)
	}
}
