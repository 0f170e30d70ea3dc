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
	if err := g.checkMint(route); err != nil {
		return "", g.reportRefusal(err)
	}
	token, err := g.Issuer.Mint(g.now(), customer, route)
	if err != nil {
		return "", g.reportRefusal(ffcall.Refuse("mint", ffcall.KindToken, err))
	}
	return token, nil
}

func (g *Gate) checkMint(route string) *ffcall.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepare()
	if g.drain.started() {
		return ffcall.Refuse("mint", ffcall.KindLeaving, merry.New("the daemon is draining"))
	}
	if _, ok := g.config.routes[route]; !ok {
		return ffcall.Refuse("mint", ffcall.KindVersion, merry.Errorf("no route %s to this service", route))
	}
	return nil
}

// verification is the result of verifying the token of a call. The zero value is
// that of a call without a token.
type verification struct {
	claims fftoken.Claims
	// valid is set if this gate minted the token for the call, even if it has expired.
	valid bool
	// refusal is set for a token that this gate did not mint for the call.
	refusal *ffcall.Error
}

// verify checks everything about a token except its expiry.
func (g *Gate) verify(c *ffcall.Call) verification {
	if c.Token == "" || c.Route == nil {
		return verification{}
	}
	claims, err := g.Issuer.Verify(g.now(), c.Token, c.Customer, c.Route.Name)
	var e *fftoken.Error
	switch {
	case err == nil, errors.As(err, &e) && e.Kind == fftoken.KindExpired:
		return verification{claims: claims, valid: true}
	case e != nil && e.Kind == fftoken.KindOtherGate:
		// An earlier attempt may have run at the other gate.
		return verification{refusal: &ffcall.Error{Op: "verify", Kind: ffcall.KindToken, Err: err}}
	}
	return verification{refusal: ffcall.Refuse("verify", ffcall.KindToken, err)}
}

// checkToken returns the refusal if the token cannot start a call now. The caller
// has held the lock since it read now and looked for a record, so that no record
// can expire in between.
func (g *Gate) checkToken(now time.Time, v verification) *ffcall.Error {
	if !v.valid {
		return v.refusal
	}
	expireAt := g.Issuer.ExpiresAt(v.claims)
	if now.Before(expireAt) {
		return nil
	}
	refusal := &ffcall.Error{Op: "verify", Kind: ffcall.KindToken, Err: merry.New("the token has expired")}
	if now.Before(expireAt.Add(atMostOnceRetention - fftoken.Lifetime)) {
		// A call started by the token would still have its record.
		refusal.Outcome = ffcall.OutcomeNotRun
	}
	return refusal
}
