package ffdeclaration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one field of a declaration that is not allowed as it stands.
type Fault struct {
	// File is the path of the declaration below the directory that was read.
	File string
	// Line counts from 1.
	Line int
	// Field is empty when the fault concerns the whole file.
	Field string
	// Message says what is wrong and what is allowed.
	Message string
}

// String returns the fault as file:line: field: message.
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Message)
}

// Faults are all faults of a directory of declarations, in order of file and line.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

func (f Faults) sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}
