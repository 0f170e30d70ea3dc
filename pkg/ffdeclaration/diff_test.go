package ffdeclaration_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
	"fireflyfall.dev/fireflyfall/pkg/ffdeclaration"
)

// A version does not differ from itself, differs from every version with other
// pieces, and the way back says the reverse.
func TestDiffIsReversible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, aErr := drawMesh(t, "").snapshot(t)
		b, bErr := drawMesh(t, "").snapshot(t)
		if err := errors.Join(aErr, bErr); err != nil {
			t.Fatal(err)
		}
		if changes := ffdeclaration.Diff(a, a); len(changes) > 0 {
			t.Fatalf("a version differs from itself: %v", changes)
		}
		there, back := ffdeclaration.Diff(a, b), ffdeclaration.Diff(b, a)
		if same := cmp.Equal(encode(t, a), encode(t, b)); same != (len(there) == 0) {
			t.Fatalf("same manifest %t, changes %v", same, there)
		}
		for i := range back {
			back[i] = reverse(back[i])
		}
		if diff := cmp.Diff(there, back); diff != "" {
			t.Fatal(diff)
		}
	})
}

func encode(t *rapid.T, s *ffconfig.Snapshot) string {
	content, err := s.Manifest().Encode()
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func reverse(c ffdeclaration.Change) ffdeclaration.Change {
	c.From, c.To = c.To, c.From
	switch c.Action {
	case ffdeclaration.ActionAdded:
		c.Action = ffdeclaration.ActionRemoved
	case ffdeclaration.ActionRemoved:
		c.Action = ffdeclaration.ActionAdded
	}
	return c
}
