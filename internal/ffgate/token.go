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

// verify returns the claims of the call's token; nil when it has none. Expiry is
// judged later, together with the records.
func (g *Gate) verify(c *ffcall.Call) (*fftoken.Claims, *ffcall.Error) {
	if c.Token == "" {
		return nil, nil
	}
	route := ""
	if c.Route != nil {
		route = c.Route.Name
	}
	claims, err := g.Issuer.Verify(g.now(), c.Token, c.Customer, route)
	if err == nil {
		return &claims, nil
	}
	var e *fftoken.Error
	if !errors.As(err, &e) {
		return nil, ffcall.Refuse("verify", ffcall.KindToken, err)
	}
	switch e.Kind {
	case fftoken.KindExpired:
		return &claims, nil
	case fftoken.KindOtherGate:
		// An earlier attempt may have run there.
		return nil, &ffcall.Error{Op: "verify", Kind: ffcall.KindToken, Err: err}
	}
	return nil, ffcall.Refuse("verify", ffcall.KindToken, err)
}

// expired returns the refusal of a token that starts no call any more and has no
// record. While outcomes of that age are remembered, this proves that it never ran.
func (g *Gate) expired(now time.Time, claims *fftoken.Claims) *ffcall.Error {
	refusal := &ffcall.Error{Op: "verify", Kind: ffcall.KindToken, Err: merry.New("the token has expired")}
	if now.Before(g.Issuer.ExpireAt(*claims).Add(durableMemory - fftoken.Life)) {
		refusal.Outcome = ffcall.OutcomeNotRun
	}
	return refusal
}
