package fflimit

// Permit allows one call to be in flight. Release must be called exactly once, when
// the call has ended. Releasing the zero value has no effect.
type Permit struct {
	account *account
}

// Release returns the permit.
func (p Permit) Release() {
	if p.account == nil {
		return
	}
	p.account.mu.Lock()
	defer p.account.mu.Unlock()
	p.account.inUse--
}
