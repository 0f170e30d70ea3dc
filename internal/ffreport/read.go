package ffreport

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
)

// Report is the report of one experiment, stored as one line of JSON.
type Report struct {
	Name     string          `json:"name"`
	Seed     uint64          `json:"seed"`
	Baseline json.RawMessage `json:"baseline"`
	Product  json.RawMessage `json:"product"`
	Target   string          `json:"target"`
	Met      bool            `json:"met"`
}

// Read returns the reports in the .json files of a directory, in the order of the
// file names. If there are several reports of one experiment, the last replaces the
// others.
func Read(directory string) ([]Report, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return nil, &Error{Op: "read", Kind: KindFile, Err: err}
	}
	var lines []Report
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, &Error{Op: "read", Kind: KindFile, Err: err}
		}
		if lines, err = decode(lines, path, content); err != nil {
			return nil, err
		}
	}
	if len(lines) == 0 {
		return nil, &Error{Op: "read", Kind: KindFile, Err: merry.Errorf("%s contains no experiment reports", directory)}
	}
	return lines, nil
}

func decode(lines []Report, path string, content []byte) ([]Report, error) {
	for text := range bytes.Lines(content) {
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		var l Report
		if err := json.Unmarshal(text, &l); err != nil || l.Name == "" {
			return nil, &Error{Op: "read", Kind: KindMalformed, Err: merry.Errorf("%s: invalid experiment report: %v", path, err)}
		}
		lines = replaceOrAppend(lines, l)
	}
	return lines, nil
}

// replaceOrAppend replaces the report of the same experiment, or appends l if there
// is none.
func replaceOrAppend(lines []Report, l Report) []Report {
	for i := range lines {
		if lines[i].Name == l.Name {
			lines[i] = l
			return lines
		}
	}
	return append(lines, l)
}

// figures decodes the baseline and product figures of a report.
func figures[T any](l Report) (baseline, product T, err error) {
	if err = json.Unmarshal(l.Baseline, &baseline); err == nil {
		err = json.Unmarshal(l.Product, &product)
	}
	if err != nil {
		err = &Error{Op: "read " + l.Name, Kind: KindMalformed, Err: err}
	}
	return baseline, product, err
}
