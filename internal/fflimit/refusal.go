package fflimit

import (
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// refusal returns the error for a call that exceeds the contract.
func (a *account) refusal(shortage Shortage, now time.Time) *ffcall.Error {
	e := ffcall.Refuse("admit", ffcall.KindLimit, merry.Errorf("customer %s has reached the %s limit of its contract", a.contract.Customer, shortage))
	e.RetryAt = a.retryAt(shortage, now)
	return e
}

// retryAt returns the time from which a refused call may be admitted.
func (a *account) retryAt(shortage Shortage, now time.Time) time.Time {
	at := now.Add(minRequestInterval)
	if a.nextRequestAt.After(at) {
		at = a.nextRequestAt
	}
	if shortage == ShortageRate && a.staticQuota.rate > 0 {
		if ready := a.staticBucket.nextTokenAt(a.staticQuota.rate, now); ready.Before(at) {
			return ready
		}
	}
	return at
}
