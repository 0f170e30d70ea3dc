package fflimit

import (
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// refusal returns the error for a call that the contract does not let pass.
func (a *account) refusal(shortage Shortage, now time.Time) *ffcall.Error {
	e := ffcall.Refuse("admit", ffcall.KindLimit, merry.Errorf("customer %s is at the %s of its contract", a.contract.Customer, shortage))
	e.RetryAt = a.retryAt(shortage, now)
	return e
}

// retryAt returns the time from which a refused call may be admitted.
func (a *account) retryAt(shortage Shortage, now time.Time) time.Time {
	at := now.Add(minAskInterval)
	if a.askAt.After(at) {
		at = a.askAt
	}
	if shortage == ShortageRate && a.own.rate > 0 {
		if ready := a.static.readyAt(a.own.rate, now); ready.Before(at) {
			return ready
		}
	}
	return at
}
