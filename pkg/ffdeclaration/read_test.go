package ffdeclaration_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
	"fireflyfall.dev/fireflyfall/pkg/ffdeclaration"
)

// emptyMesh makes a directory of declarations without any.
func emptyMesh(t interface{ Fatal(...any) }, dir string) {
	for _, name := range []string{"contracts", "services", "routes"} {
		if err := os.Mkdir(filepath.Join(dir, name), 0o700); err != nil {
			t.Fatal(err)
		}
	}
}

// Declarations are at fault if and only if a daemon would refuse the version
// that they stand for; the two sets of checks are written apart.
func TestReadAgreesWithSnapshot(t *testing.T) {
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := drawMesh(t, rapid.SampledFrom(slips).Draw(t, "slip"))
		dir, err := os.MkdirTemp("", "mesh")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		emptyMesh(t, dir)
		m.write(t, dir)
		d, readErr := ffdeclaration.Read(dir)
		want, snapshotErr := m.snapshot(t)
		if (readErr == nil) != (snapshotErr == nil) {
			t.Fatalf("read: %v\nsnapshot: %v", readErr, snapshotErr)
		}
		if readErr != nil {
			refused++
			var faults ffdeclaration.Faults
			if !errors.As(readErr, &faults) {
				t.Fatal(readErr)
			}
			return
		}
		accepted++
		b, err := ffdeclaration.Build(d, 1)
		if err != nil {
			t.Fatal(err)
		}
		if changes := ffdeclaration.Diff(want, b.Snapshot); len(changes) > 0 {
			t.Fatal(changes)
		}
	})
	t.Logf("%d accepted, %d refused", accepted, refused)
	if accepted == 0 || refused == 0 {
		t.Fatalf("%d accepted, %d refused: one side is not tested", accepted, refused)
	}
}

// A file that exceeds the limit by one byte is a fault, and one at the limit is not too long.
func TestReadRefusesLongFile(t *testing.T) {
	for _, length := range []int{ffdeclaration.MaxFileBytes, ffdeclaration.MaxFileBytes + 1} {
		dir := t.TempDir()
		emptyMesh(t, dir)
		file := filepath.Join(dir, "services", "a.yaml")
		if err := os.WriteFile(file, bytes.Repeat([]byte("#"), length), 0o600); err != nil {
			t.Fatal(err)
		}
		want := "is empty; a declaration is one YAML mapping"
		if length > ffdeclaration.MaxFileBytes {
			want = "is too long; at most 262144 bytes are allowed"
		}
		_, err := ffdeclaration.Read(dir)
		var faults ffdeclaration.Faults
		if !errors.As(err, &faults) {
			t.Fatal(err)
		}
		if diff := cmp.Diff(ffdeclaration.Faults{{File: file, Line: 1, Message: want}}, faults); diff != "" {
			t.Fatal(diff)
		}
	}
}

// No content of a file makes Read panic, and what it accepts a daemon accepts.
func FuzzRead(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		dir := t.TempDir()
		emptyMesh(t, dir)
		if err := os.WriteFile(filepath.Join(dir, "services", "a.yaml"), content, 0o600); err != nil {
			t.Fatal(err)
		}
		d, err := ffdeclaration.Read(dir)
		if err != nil {
			return
		}
		b, err := ffdeclaration.Build(d, 1)
		if err != nil {
			t.Fatal(err)
		}
		if s, ok := b.Snapshot.Service("a"); !ok || len(s.Validate()) > 0 {
			t.Fatalf("accepted %v", s)
		}
	})
}

// A bundle that is written and read again is the same to the byte; a damaged
// piece makes the whole bundle unreadable.
func TestBundleRoundTrip(t *testing.T) {
	d, err := ffdeclaration.Read("../../examples/sicily")
	if err != nil {
		t.Fatal(err)
	}
	b, err := ffdeclaration.Build(d, 7)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := b.Write(dir); err != nil {
		t.Fatal(err)
	}
	again, err := ffdeclaration.ReadBundle(dir)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(b.Pieces, again.Pieces); diff != "" || !bytes.Equal(b.Manifest, again.Manifest) {
		t.Fatal(diff)
	}
	if got := again.Snapshot.Version(); got != b.Snapshot.Version() || got.Number != 7 {
		t.Fatalf("version %v", got)
	}
	for digest, content := range b.Pieces {
		damage(t, dir, digest, content)
	}
}

// damage spoils one piece for as long as it takes to see that the bundle is refused.
func damage(t *testing.T, dir string, digest ffconfig.Digest, content []byte) {
	file := filepath.Join(dir, "pieces", string(digest))
	spoiled := bytes.Clone(content)
	spoiled[len(spoiled)/2] ^= 1
	for _, c := range [][]byte{spoiled, content[1:], nil} {
		if err := os.WriteFile(file, c, 0o600); err != nil {
			t.Fatal(err)
		}
		if b, err := ffdeclaration.ReadBundle(dir); err == nil || b != nil {
			t.Fatalf("piece %s: damaged content is accepted", digest.Short())
		}
	}
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
}
