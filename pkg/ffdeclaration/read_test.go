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

// makeDirectories creates the empty directories of the declarations in dir.
func makeDirectories(t interface{ Fatal(...any) }, dir string) {
	for _, name := range []string{"contracts", "services", "routes"} {
		if err := os.Mkdir(filepath.Join(dir, name), 0o700); err != nil {
			t.Fatal(err)
		}
	}
}

// Checks that Read accepts declarations if and only if a daemon would accept their
// version. The two implement their checks of references and duplicates separately.
func TestReadAgreesWithSnapshot(t *testing.T) {
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := drawMesh(t, rapid.SampledFrom(allLabels).Draw(t, "invalidLabel"))
		dir, err := os.MkdirTemp("", "mesh")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		makeDirectories(t, dir)
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
		t.Fatalf("%d accepted, %d refused: need at least one of each", accepted, refused)
	}
}

// Checks that Read rejects a file one byte over the size limit as too long, but not
// a file at the limit.
func TestReadRefusesLongFile(t *testing.T) {
	for _, length := range []int{ffdeclaration.MaxFileBytes, ffdeclaration.MaxFileBytes + 1} {
		dir := t.TempDir()
		makeDirectories(t, dir)
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

// Checks that no file content makes Read panic and that accepted content builds a
// valid version.
func FuzzRead(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		dir := t.TempDir()
		makeDirectories(t, dir)
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

// Checks that a bundle is byte-identical after it is written and read, and that
// ReadBundle rejects a bundle with a corrupt piece.
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
		requireCorruptionDetected(t, dir, digest, content)
	}
}

// requireCorruptionDetected corrupts one piece in several ways, requires ReadBundle
// to fail each time, and restores the piece.
func requireCorruptionDetected(t *testing.T, dir string, digest ffconfig.Digest, content []byte) {
	file := filepath.Join(dir, "pieces", string(digest))
	corrupt := bytes.Clone(content)
	corrupt[len(corrupt)/2] ^= 1
	for _, c := range [][]byte{corrupt, content[1:], nil} {
		if err := os.WriteFile(file, c, 0o600); err != nil {
			t.Fatal(err)
		}
		if b, err := ffdeclaration.ReadBundle(dir); err == nil || b != nil {
			t.Fatalf("piece %s: corrupt content is accepted", digest.Short())
		}
	}
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
}
