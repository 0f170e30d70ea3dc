package ffentry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/fflimit"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// lateLimiter has room from a time on.
type lateLimiter struct {
	roomAt time.Time
	asked  atomic.Int64
}

// Acquire implements Limiter.
func (l *lateLimiter) Acquire(context.Context, *ffconfig.Contract, func() time.Time) (fflimit.Permit, *ffcall.Error) {
	l.asked.Add(1)
	if time.Now().Before(l.roomAt) {
		return fflimit.Permit{}, ffcall.Refuse("admit", ffcall.KindLimit, nil)
	}
	return fflimit.Permit{}, nil
}

func TestCallWaitsAMomentForRoomInItsContract(t *testing.T) {
	for name, c := range map[string]struct {
		room    time.Duration
		refused bool
	}{
		"at once":  {0, false},
		"soon":     {200 * time.Millisecond, false},
		"too late": {400 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &lateLimiter{roomAt: time.Now().Add(c.room)}
				e := &Entry{Limiter: l}
				start := time.Now()
				_, refusal := e.acquire(t.Context(), &ffconfig.Contract{Customer: "porter"})
				if (refusal != nil) != c.refused || time.Since(start) > limitPatience {
					t.Fatalf("refusal %v after %v", refusal, time.Since(start))
				}
			})
		})
	}
}

func TestOnlyAFewCallsOfACustomerWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &lateLimiter{roomAt: time.Now().Add(time.Hour)}
		e := &Entry{Limiter: l}
		var waited atomic.Int64
		start := time.Now()
		for range 10 * maxPatient {
			go func() {
				_, _ = e.acquire(t.Context(), &ffconfig.Contract{Customer: "reseller"})
				if time.Since(start) > 0 {
					waited.Add(1)
				}
			}()
		}
		<-time.After(time.Second)
		synctest.Wait()
		if n := waited.Load(); n != maxPatient {
			t.Fatalf("%d calls waited, want %d", n, maxPatient)
		}
		if len(e.patient.waiting) != 0 {
			t.Fatalf("%v still wait", e.patient.waiting)
		}
	})
}
