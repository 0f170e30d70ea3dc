// Package fftoken mints and verifies the tokens that determine which gate may run
// a call that is not idempotent. A token names one gate, one incarnation, one
// customer and one route.
package fftoken

import (
	"crypto/hmac"
	"crypto/sha256"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
)

// Lifetime is the time after minting during which a token may start a call.
const Lifetime = 5 * time.Minute

const keyBytes = 32

// Issuer mints and verifies the tokens of one incarnation of one gate. Its random
// key is kept only in memory, so no later incarnation accepts its tokens.
type Issuer struct {
	vm          string
	incarnation uint64
	started     time.Time
	random      io.Reader
	key         [keyBytes]byte
}

// NewIssuer returns the issuer of a gate that started at the given time; the
// key and the identifiers come from random.
func NewIssuer(vm string, incarnation uint64, started time.Time, random io.Reader) (*Issuer, error) {
	i := &Issuer{vm: vm, incarnation: incarnation, started: started, random: random}
	if _, err := io.ReadFull(random, i.key[:]); err != nil {
		return nil, &Error{Op: "key", Kind: KindRandom, Err: err}
	}
	return i, nil
}

// Mint returns a new token for a call of the customer on the route.
func (i *Issuer) Mint(now time.Time, customer, route string) (string, error) {
	c := Claims{VM: i.vm, Incarnation: i.incarnation, Customer: customer, Route: route}
	if _, err := io.ReadFull(i.random, c.ID[:]); err != nil {
		return "", &Error{Op: "mint", Kind: KindRandom, Err: err}
	}
	c.expiresMicros = now.Add(Lifetime).Sub(i.started).Microseconds()
	payload, err := c.encode()
	if err != nil {
		return "", malformed(err)
	}
	token := encoding.EncodeToString(append(payload, i.tag(payload)...))
	if _, err := Parse(token); err != nil {
		return "", err
	}
	return token, nil
}

// Verify returns the claims of a token that this issuer minted for the customer
// and route. For an expired token it returns the claims along with the error.
func (i *Issuer) Verify(now time.Time, token, customer, route string) (Claims, error) {
	c, s, err := parseToken(token)
	if err != nil {
		return Claims{}, err
	}
	if c.VM != i.vm || c.Incarnation != i.incarnation {
		return Claims{}, refuse(KindOtherGate, merry.Errorf("token names gate %s, incarnation %d", c.VM, c.Incarnation))
	}
	if !hmac.Equal(s.tag, i.tag(s.payload)) {
		return Claims{}, refuse(KindForged, merry.New("authentication tag does not match"))
	}
	if c.Customer != customer || c.Route != route {
		return Claims{}, refuse(KindMismatch, merry.Errorf("token is for route %s of customer %s", c.Route, c.Customer))
	}
	if !now.Before(i.ExpiresAt(c)) {
		return c, refuse(KindExpired, merry.New("token has expired"))
	}
	return c, nil
}

// ExpiresAt returns the time, on the clock of the gate, from which the token may no
// longer start a call.
func (i *Issuer) ExpiresAt(c Claims) time.Time {
	return i.started.Add(time.Duration(c.expiresMicros) * time.Microsecond)
}

func (i *Issuer) tag(payload []byte) []byte {
	h := hmac.New(sha256.New, i.key[:])
	h.Write(payload)
	return h.Sum(nil)[:tagBytes]
}

func refuse(kind Kind, err error) error { return &Error{Op: "verify", Kind: kind, Err: err} }
