package ffsoak

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// checkCase is a small record with the expected finding for one promise.
type checkCase struct {
	Promise string `json:"promise"`
	Verdict string `json:"verdict"`
	// Trace is a substring of the first line of the evidence.
	Trace  string `json:"trace"`
	Record Record `json:"record"`
}

// TestChecks runs the checks on the records in testdata. Each promise must have
// at least one record that breaks it.
func TestChecks(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.json")
	if err != nil {
		t.Fatal(err)
	}
	broken := make(map[string]bool)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			c := readCase(t, path)
			f := findingOf(t, c)
			if f.Verdict.String() != c.Verdict {
				t.Fatalf("%s is %s, want %s; trace %q", c.Promise, f.Verdict, c.Verdict, f.Trace)
			}
			if f.Verdict != VerdictBroken {
				return
			}
			broken[c.Promise] = true
			if c.Trace == "" || !strings.Contains(f.Trace[0], c.Trace) {
				t.Fatalf("trace %q does not contain %q", f.Trace, c.Trace)
			}
		})
	}
	for p := PromiseNeverOlder; p <= PromiseConvergence; p++ {
		if !broken[p.String()] {
			t.Errorf("no record breaks %s", p)
		}
	}
}

// readCase decodes a case on top of the base record shared by all cases.
func readCase(t *testing.T, path string) checkCase {
	var c checkCase
	for _, one := range []string{"testdata/base/record.json", path} {
		content, err := os.ReadFile(one)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(content, &c); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

func findingOf(t *testing.T, c checkCase) Finding {
	for _, f := range CheckRecord(&c.Record).findings {
		if f.Promise.String() == c.Promise {
			return f
		}
	}
	t.Fatalf("no check of %s", c.Promise)
	return Finding{}
}
