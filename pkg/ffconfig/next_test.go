package ffconfig_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// A snapshot that takes pieces over from the one before is the same as one that
// decodes every piece, and is refused for the same reasons.
func TestNextAgreesWithNewSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := drawMesh(t)
		before, err := first.encode(t).snapshot(t)
		if err != nil {
			t.Fatal(err)
		}
		second := drawMesh(t)
		for i := range min(len(first.contracts), len(second.contracts)) {
			if rapid.Bool().Draw(t, "keepContract") {
				second.contracts[i] = first.contracts[i]
			}
		}
		for i := range min(len(first.services), len(second.services)) {
			if rapid.Bool().Draw(t, "keepService") {
				second.services[i] = first.services[i]
			}
		}
		for i := range min(len(first.routes), len(second.routes)) {
			if rapid.Bool().Draw(t, "keepRoute") {
				second.routes[i] = first.routes[i]
			}
		}
		v := second.encode(t)
		m := ffconfig.Manifest{Number: 2, Pieces: v.refs}
		all, allErr := ffconfig.NewSnapshot(m, ffconfig.Version{Number: 2}, v.pieces)
		lacking := maps.Clone(v.pieces)
		for _, p := range before.Manifest().Pieces {
			delete(lacking, p.Digest)
		}
		next, nextErr := before.Next(m, ffconfig.Version{Number: 2}, lacking)
		if diff := cmp.Diff(fmt.Sprint(allErr), fmt.Sprint(nextErr)); diff != "" {
			t.Fatal(diff)
		}
		if allErr != nil {
			return
		}
		if diff := cmp.Diff(meshOf(all), meshOf(next), cmp.AllowUnexported(mesh{})); diff != "" {
			t.Fatal(diff)
		}
		for _, c := range second.contracts {
			if got, ok := next.Contract(c.Customer); !ok || got.KeyHashes[0] != c.KeyHashes[0] {
				t.Fatalf("contract %v, want %v", got, c)
			}
		}
	})
}

// A piece of the snapshot before is not taken for one under another name, kind or size.
func TestNextRefusesForeignPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawMesh(t).encode(t)
		before, err := v.snapshot(t)
		if err != nil {
			t.Fatal(err)
		}
		i := rapid.IntRange(0, len(v.refs)-1).Draw(t, "piece")
		for _, p := range []ffconfig.PieceRef{
			{Kind: v.refs[i].Kind, Name: "stranger", Digest: v.refs[i].Digest, Size: v.refs[i].Size},
			{Kind: (v.refs[i].Kind + 1) % 3, Name: v.refs[i].Name, Digest: v.refs[i].Digest, Size: v.refs[i].Size},
			{Kind: v.refs[i].Kind, Name: v.refs[i].Name, Digest: v.refs[i].Digest, Size: v.refs[i].Size + 1},
		} {
			foreign := v.clone()
			foreign.refs[i] = p
			m := ffconfig.Manifest{Number: 2, Pieces: foreign.refs}
			if next, err := before.Next(m, ffconfig.Version{Number: 2}, v.pieces); err == nil || next != nil {
				t.Fatalf("piece %v is accepted", p)
			}
		}
	})
}
