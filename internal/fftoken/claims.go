package fftoken

import (
	"encoding/base64"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// idBytes and tagBytes are the sizes of the random part and of the authentication tag.
	idBytes  = 16
	tagBytes = 16
	// maxTokenBytes is the maximum length of an encoded token.
	maxTokenBytes = 512
)

var encoding = base64.RawURLEncoding.Strict()

// ID is the random part that makes a token unique.
type ID [idBytes]byte

// Claims holds the claims of a token. Only the gate that minted the token can verify them.
type Claims struct {
	// VM and Incarnation name the only gate that may run the call.
	VM          string
	Incarnation uint64
	Customer    string
	Route       string
	ID          ID
	// expiresMicros is the expiry in microseconds since the gate started.
	expiresMicros int64
}

// Parse decodes a token without verifying its tag, for routing to the gate that it names.
func Parse(token string) (Claims, error) {
	c, _, err := parseToken(token)
	return c, err
}

// signedPayload holds the encoded claims of a token and their authentication tag.
type signedPayload struct {
	payload []byte
	tag     []byte
}

func parseToken(token string) (Claims, signedPayload, error) {
	if len(token) > maxTokenBytes {
		return Claims{}, signedPayload{}, malformed(merry.Errorf("token has %d bytes, at most %d are allowed", len(token), maxTokenBytes))
	}
	raw, err := encoding.DecodeString(token)
	if err != nil {
		return Claims{}, signedPayload{}, malformed(err)
	}
	if len(raw) < tagBytes {
		return Claims{}, signedPayload{}, malformed(merry.Errorf("%d bytes are too few for a token", len(raw)))
	}
	s := signedPayload{payload: raw[:len(raw)-tagBytes], tag: raw[len(raw)-tagBytes:]}
	c, err := decode(s.payload)
	return c, s, err
}

func decode(payload []byte) (Claims, error) {
	var m ffprotocol.TokenClaims
	if err := proto.Unmarshal(payload, &m); err != nil {
		return Claims{}, malformed(err)
	}
	if len(m.Id) != idBytes {
		return Claims{}, malformed(merry.Errorf("token ID has %d bytes", len(m.Id)))
	}
	for _, name := range []string{m.Vm, m.Customer, m.Route} {
		if name == "" || len(name) > ffconfig.MaxNameLength {
			return Claims{}, malformed(merry.Errorf("%q is not a valid name", name))
		}
	}
	return Claims{VM: m.Vm, Incarnation: m.Incarnation, Customer: m.Customer, Route: m.Route, ID: ID(m.Id), expiresMicros: m.ExpiresMicros}, nil
}

func (c Claims) encode() ([]byte, error) {
	return proto.Marshal(&ffprotocol.TokenClaims{
		Vm: c.VM, Incarnation: c.Incarnation, Customer: c.Customer, Route: c.Route, Id: c.ID[:], ExpiresMicros: c.expiresMicros,
	})
}

func malformed(err error) error { return &Error{Op: "parse", Kind: KindMalformed, Err: err} }
