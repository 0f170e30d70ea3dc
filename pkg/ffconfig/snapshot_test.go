package ffconfig_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Checks that encoding and decoding a version preserves its values, and that the
// order of its pieces does not change the manifest.
func TestSnapshotRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMesh(t)
		v := m.encode(t)
		s, err := v.snapshot(t)
		if err != nil {
			t.Fatal(err)
		}
		shuffled := v.clone()
		shuffled.refs = rapid.Permutation(v.refs).Draw(t, "order")
		if diff := cmp.Diff(string(v.manifest(t)), string(shuffled.manifest(t))); diff != "" {
			t.Fatalf("the order of the pieces changes the manifest:\n%s", diff)
		}
		if diff := cmp.Diff(m, meshOf(s), cmp.AllowUnexported(mesh{})); diff != "" {
			t.Fatal(diff)
		}
	})
}

// meshOf returns the values of a snapshot, sorted by name.
func meshOf(s *ffconfig.Snapshot) mesh {
	var m mesh
	for _, name := range s.Customers() {
		c, _ := s.Contract(name)
		m.contracts = append(m.contracts, *c)
	}
	for _, name := range s.Services() {
		v, _ := s.Service(name)
		m.services = append(m.services, *v)
	}
	for _, r := range s.Routes() {
		m.routes = append(m.routes, *r)
	}
	slices.SortFunc(m.routes, func(a, b ffconfig.Route) int { return strings.Compare(a.Name, b.Name) })
	return m
}

// Checks that a version with a missing, corrupt or mismatched piece is rejected as
// a whole.
func TestSnapshotRefusesDamagedPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawMesh(t).encode(t)
		i := rapid.IntRange(0, len(v.refs)-1).Draw(t, "piece")
		ref, other := v.refs[i], v.refs[(i+1)%len(v.refs)]
		content := v.pieces[ref.Digest]
		at := rapid.IntRange(0, len(content)-1).Draw(t, "byte")
		flipped := slices.Clone(content)
		flipped[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")

		withContent := func(c []byte) version {
			damaged := v.clone()
			damaged.pieces[ref.Digest] = c
			return damaged
		}
		withRef := func(p ffconfig.PieceRef) version {
			damaged := v.clone()
			damaged.refs[i] = p
			return damaged
		}
		missing := v.clone()
		delete(missing.pieces, ref.Digest)
		requireRefused(t, missing, "missing")
		requireRefused(t, withContent(flipped), "one bit flipped")
		requireRefused(t, withContent(content[:at]), "cut short")
		requireRefused(t, withContent(append(slices.Clone(content), '\n')), "too long")
		requireRefused(t, withContent(v.pieces[other.Digest]), "content of another piece")

		listed := func(kind ffconfig.PieceKind, name string, d ffconfig.Digest, size int) version {
			return withRef(ffconfig.PieceRef{Kind: kind, Name: name, Digest: d, Size: size})
		}
		requireRefused(t, listed(ref.Kind, ref.Name, other.Digest, other.Size), "listed with the digest of another piece")
		requireRefused(t, listed((ref.Kind+1)%3, ref.Name, ref.Digest, ref.Size), "listed as another kind")
		requireRefused(t, listed(ref.Kind, "stranger", ref.Digest, ref.Size), "listed under another name")
		requireRefused(t, listed(ref.Kind, ref.Name, ref.Digest, ref.Size+1), "listed with another size")
		requireRefused(t, listed(other.Kind, other.Name, other.Digest, other.Size), "listed twice")
	})
}

// Checks that content after the JSON value of a piece is rejected although the
// digest matches.
func TestSnapshotRefusesTrailingContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawMesh(t).encode(t)
		i := rapid.IntRange(0, len(v.refs)-1).Draw(t, "piece")
		tail := rapid.SampledFrom([]string{"}", "]", "{}", "null", ",", "x"}).Draw(t, "tail")
		content := append(slices.Clone(v.pieces[v.refs[i].Digest]), tail...)
		v.refs[i].Digest, v.refs[i].Size = ffconfig.DigestOf(content), len(content)
		v.pieces[v.refs[i].Digest] = content
		requireRefused(t, v, "trailing "+tail)
	})
}

// Checks that NewSnapshot validates the manifest itself: a manifest that was not
// decoded by DecodeManifest may list a piece twice.
func TestSnapshotRefusesUndecodedManifest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMesh(t)
		v := m.encode(t)
		again := m.contracts[0]
		again.KeyHashes = []ffconfig.Digest{ffconfig.DigestOf([]byte("another key"))}
		twice := mesh{contracts: []ffconfig.Contract{again}}.encode(t)
		v.refs = append(v.refs, twice.refs...)
		v.pieces[twice.refs[0].Digest] = twice.pieces[twice.refs[0].Digest]
		s, err := ffconfig.NewSnapshot(ffconfig.Manifest{Number: 1, Pieces: v.refs}, ffconfig.Version{Number: 1}, v.pieces)
		if err == nil || s != nil {
			t.Fatalf("contract %s is listed twice but accepted", again.Customer)
		}
	})
}

// Checks that a version is rejected if a route refers to a missing service, a
// missing resource or a service without slots for its class, or if a contract
// refers to a missing route.
func TestSnapshotRefusesDanglingReferences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMesh(t)
		r := rapid.IntRange(0, len(m.routes)-1).Draw(t, "route")
		c := rapid.IntRange(0, len(m.contracts)-1).Draw(t, "contract")
		s := slices.IndexFunc(m.services, func(s ffconfig.Service) bool { return s.Name == m.routes[r].Service })
		broken := mesh{contracts: slices.Clone(m.contracts), services: slices.Clone(m.services), routes: slices.Clone(m.routes)}
		switch rapid.SampledFrom([]string{"service", "route", "resource", "longSlots", "routeName"}).Draw(t, "lacking") {
		case "service":
			broken.services = slices.Delete(broken.services, s, s+1)
		case "route":
			broken.routes = slices.Delete(broken.routes, r, r+1)
		case "resource":
			broken.services[s].Resources = []string{"unused"}
		case "longSlots":
			broken.services[s].LongSlots = 0
			broken.routes[r].Class = ffconfig.ClassLong
		case "routeName":
			broken.contracts[c].Routes = []string{"unknown"}
		}
		if e := requireRefused(t, broken.encode(t), "dangling reference"); e.Kind != ffconfig.KindReference {
			t.Fatalf("got %v", e)
		}
	})
}

// Checks that two customers cannot share a key and that a digest in upper case is
// invalid, so that it cannot be a second spelling of the same key.
func TestSnapshotRefusesAmbiguousKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMesh(t)
		shared := m.contracts[0]
		shared.Customer = "impostor"
		m.contracts = append(m.contracts, shared)
		requireRefused(t, m.encode(t), "shared key")
		m.contracts[len(m.contracts)-1].KeyHashes = []ffconfig.Digest{ffconfig.Digest(strings.ToUpper(string(shared.KeyHashes[0])))}
		requireRefused(t, m.encode(t), "digest in upper case")
	})
}
