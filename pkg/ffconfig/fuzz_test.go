package ffconfig_test

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Checks that a decoded manifest does not change when it is encoded and decoded again.
func FuzzDecodeManifest(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		m, v, err := ffconfig.DecodeManifest(content)
		if err != nil {
			return
		}
		if !json.Valid(content) {
			t.Fatal("the content is not one JSON value")
		}
		if v.Number != m.Number || v.Digest != ffconfig.DigestOf(content) {
			t.Fatalf("version %v is not that of the content", v)
		}
		encoded, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, _, err := ffconfig.DecodeManifest(encoded)
		if err != nil {
			t.Fatal(err)
		}
		recoded, err := again.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(encoded), string(recoded)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Checks that a snapshot built from three arbitrary pieces has no invalid value
// and no dangling reference, and finds the contract only by the contract's own keys.
func FuzzNewSnapshot(f *testing.F) {
	f.Fuzz(func(t *testing.T, contract, service, route []byte) {
		m := ffconfig.Manifest{Number: 1}
		pieces := make(map[ffconfig.Digest][]byte)
		for kind, content := range [][]byte{contract, service, route} {
			d := ffconfig.DigestOf(content)
			m.Pieces = append(m.Pieces, ffconfig.PieceRef{Kind: ffconfig.PieceKind(kind), Name: "a", Digest: d, Size: len(content)})
			pieces[d] = content
		}
		s, err := ffconfig.NewSnapshot(m, ffconfig.Version{Number: 1}, pieces)
		if err != nil {
			return
		}
		requireValid(t, s)
	})
}

func requireValid(t *testing.T, s *ffconfig.Snapshot) {
	c, _ := s.Contract("a")
	v, _ := s.Service("a")
	r := s.Routes()[0]
	if len(c.Validate())+len(v.Validate())+len(r.Validate()) > 0 {
		t.Fatalf("invalid values: %v %v %v", c, v, r)
	}
	if len(c.Routes) != 1 || c.Routes[0] != r.Name || r.Service != v.Name || !v.Offers(r.Resource) {
		t.Fatalf("dangling reference: %v %v %v", c, v, r)
	}
	if _, ok := s.ContractByKey(""); ok && c.KeyHashes[0] != ffconfig.DigestOf(nil) {
		t.Fatal("the contract is found by a key that it does not list")
	}
	if got, ok := s.Route(r.Method, r.Path); !ok || got != r {
		t.Fatalf("%s %s matches route %v", r.Method, r.Path, got)
	}
}
