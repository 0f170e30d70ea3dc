package ffdeclaration_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
	"fireflyfall.dev/fireflyfall/pkg/ffdeclaration"
)

// Checks that Diff reports no change between equal versions, some change between
// versions with different pieces, and the inverse changes when they are swapped.
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
		forward, backward := ffdeclaration.Diff(a, b), ffdeclaration.Diff(b, a)
		if same := cmp.Equal(encode(t, a), encode(t, b)); same != (len(forward) == 0) {
			t.Fatalf("same manifest %t, changes %v", same, forward)
		}
		for i := range backward {
			backward[i] = reverse(backward[i])
		}
		if diff := cmp.Diff(forward, backward); diff != "" {
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
