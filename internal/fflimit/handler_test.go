package fflimit

import (
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// TestRequestBeforeFirstVersion sends a request to a daemon that has just started and
// has no version yet.
func TestRequestBeforeFirstVersion(t *testing.T) {
	h := &Handler{
		Limiter:   &Limiter{},
		Contracts: func() Contracts { return nil },
		Clock:     func() time.Time { return time.Unix(0, 0) },
	}
	resp, err := h.Ask(t.Context(), &ffprotocol.AskRequest{Asks: []*ffprotocol.LimitAsk{{Customer: "porter", Seq: 7}}})
	if err != nil {
		t.Fatal(err)
	}
	a := resp.GetAnswers()[0]
	if a.GetSeq() != 7 || a.GetTokens() != 0 || a.GetPermits() != 0 || a.GetWaitMillis() == 0 {
		t.Fatalf("a daemon without a version granted %v", a)
	}
}
