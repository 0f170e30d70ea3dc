package ffreport_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fireflyfall.dev/fireflyfall/internal/ffreport"
)

func TestPageShowsEveryReport(t *testing.T) {
	directory := t.TempDir()
	if err := os.CopyFS(directory, os.DirFS("testdata")); err != nil {
		t.Fatal(err)
	}
	path, err := ffreport.Write(directory)
	if err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	page := string(content)
	for _, want := range []string{"<h2>crest</h2>", "0.94", "Met", "<h2>convergence</h2>", "Missed", "180 daemons"} {
		if !strings.Contains(page, want) {
			t.Errorf("page does not contain %q", want)
		}
	}
	if n := strings.Count(page, "<svg"); n != 3 {
		t.Errorf("%d plots, want 3", n)
	}
}

func TestInvalidReportsAreRejected(t *testing.T) {
	directory := t.TempDir()
	var e *ffreport.Error
	if _, err := ffreport.Write(directory); !errors.As(err, &e) || e.Kind != ffreport.KindFile {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory, "a.json"), []byte("{}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ffreport.Write(directory); !errors.As(err, &e) || e.Kind != ffreport.KindMalformed {
		t.Fatal(err)
	}
}
