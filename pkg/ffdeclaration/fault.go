package ffdeclaration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is an error in a field or file of the declarations.
type Fault struct {
	// File is the path of the file; it starts with the directory given to Read.
	File string
	// Line is the line number, starting at 1.
	Line int
	// Field is empty if the fault concerns the whole file.
	Field string
	// Message describes the fault and what is allowed.
	Message string
}

// String formats the fault as file:line: field: message, without an empty field.
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Message)
}

// Faults are all faults of a directory of declarations, sorted by file and line.
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
