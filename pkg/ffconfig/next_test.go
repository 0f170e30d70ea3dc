package ffconfig_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Checks that Next, which reuses pieces of the previous snapshot, returns the same
// snapshot or error as NewSnapshot, which decodes every piece.
func TestNextAgreesWithNewSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := drawMesh(t)
		previous, err := first.encode(t).snapshot(t)
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
		newPieces := maps.Clone(v.pieces)
		for _, p := range previous.Manifest().Pieces {
			delete(newPieces, p.Digest)
		}
		next, nextErr := previous.Next(m, ffconfig.Version{Number: 2}, newPieces)
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

// Checks that Next does not reuse a piece for a reference with the same digest but
// another name, kind or size.
func TestNextRefusesMismatchedReferences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawMesh(t).encode(t)
		previous, err := v.snapshot(t)
		if err != nil {
			t.Fatal(err)
		}
		i := rapid.IntRange(0, len(v.refs)-1).Draw(t, "piece")
		for _, p := range []ffconfig.PieceRef{
			{Kind: v.refs[i].Kind, Name: "stranger", Digest: v.refs[i].Digest, Size: v.refs[i].Size},
			{Kind: (v.refs[i].Kind + 1) % 3, Name: v.refs[i].Name, Digest: v.refs[i].Digest, Size: v.refs[i].Size},
			{Kind: v.refs[i].Kind, Name: v.refs[i].Name, Digest: v.refs[i].Digest, Size: v.refs[i].Size + 1},
		} {
			modified := v.clone()
			modified.refs[i] = p
			m := ffconfig.Manifest{Number: 2, Pieces: modified.refs}
			if next, err := previous.Next(m, ffconfig.Version{Number: 2}, v.pieces); err == nil || next != nil {
				t.Fatalf("piece %v is accepted", p)
			}
		}
	})
}
