package ffgate

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/fftoken"
)

// Mint returns a token that binds one call of the customer on the route to this gate.
func (g *Gate) Mint(customer, route string) (string, error) {
	if err := g.mayMint(route); err != nil {
		return "", g.report(err)
	}
	token, err := g.Issuer.Mint(g.now(), customer, route)
	if err != nil {
		return "", g.report(ffcall.Refuse("mint", ffcall.KindToken, err))
	}
	return token, nil
}

func (g *Gate) mayMint(route string) *ffcall.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepare()
	if g.drain.started() {
		return ffcall.Refuse("mint", ffcall.KindLeaving, merry.New("the daemon is leaving"))
	}
	if _, ok := g.config.routes[route]; !ok {
		return ffcall.Refuse("mint", ffcall.KindVersion, merry.Errorf("no route %s to this service", route))
	}
	return nil
}

// verdict is what the gate makes of the token of a call. The zero value is that
// of a call without one.
type verdict struct {
	claims fftoken.Claims
	// valid tells that this gate minted the token, however long ago.
	valid bool
	// refusal is set for a token that this gate did not mint for the call.
	refusal *ffcall.Error
}

// verify judges all of a token but its expiry.
func (g *Gate) verify(c *ffcall.Call) verdict {
	if c.Token == "" || c.Route == nil {
		return verdict{}
	}
	claims, err := g.Issuer.Verify(g.now(), c.Token, c.Customer, c.Route.Name)
	var e *fftoken.Error
	switch {
	case err == nil, errors.As(err, &e) && e.Kind == fftoken.KindExpired:
		return verdict{claims: claims, valid: true}
	case e != nil && e.Kind == fftoken.KindOtherGate:
		// An earlier attempt may have run there.
		return verdict{refusal: &ffcall.Error{Op: "verify", Kind: ffcall.KindToken, Err: err}}
	}
	return verdict{refusal: ffcall.Refuse("verify", ffcall.KindToken, err)}
}

// mayUse returns why a token starts no call now. The caller holds the lock, so
// that no record can expire between this look at the clock and the next record.
func (g *Gate) mayUse(now time.Time, v verdict) *ffcall.Error {
	if !v.valid {
		return v.refusal
	}
	expireAt := g.Issuer.ExpireAt(v.claims)
	if now.Before(expireAt) {
		return nil
	}
	refusal := &ffcall.Error{Op: "verify", Kind: ffcall.KindToken, Err: merry.New("the token has expired")}
	if now.Before(expireAt.Add(durableMemory - fftoken.Life)) {
		// Had the token run a call, its record would still be there.
		refusal.Outcome = ffcall.OutcomeNotRun
	}
	return refusal
}
