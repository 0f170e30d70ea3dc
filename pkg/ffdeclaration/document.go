package ffdeclaration

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// document is a declaration file that is being read and validated.
type document struct {
	file string
	// name is the declared name, or the base name of the file if that is invalid.
	name   string
	faults Faults
	// lines maps each declared field to its line.
	lines map[string]int
	// values maps each declared field to its node.
	values map[string]ast.Node
	// faulty is the set of fields with a fault; the empty name means the whole file.
	faulty map[string]bool
}

// valid reports whether neither the field nor the whole file has a fault.
func (d *document) valid(field string) bool { return !d.faulty[""] && !d.faulty[field] }

// setName sets the name from its field, or from the file name if the field has a fault.
func (d *document) setName(field, name string) {
	d.name = baseName(d.file)
	if d.valid(field) {
		d.name = name
	}
}

// decode decodes content into the struct that into points to, by the yaml tags of
// its fields, and adds a fault for each error. It reports whether content is one
// YAML mapping.
func (d *document) decode(content []byte, into any) bool {
	root, ok := d.parse(content)
	if !ok {
		return false
	}
	target := reflect.ValueOf(into).Elem()
	names := fieldNames(target.Type())
	d.collect(root, names)
	for i, name := range names {
		d.setField(name, target.Field(i))
	}
	return true
}

// parse returns the root mapping. It adds a fault unless content is a single document
// that is a mapping.
func (d *document) parse(content []byte) (*ast.MappingNode, bool) {
	file, err := parser.ParseBytes(content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addError("", err)
		return nil, false
	}
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) == 0 {
		d.add(1, "", "is empty; a declaration is one YAML mapping")
		return nil, false
	}
	if len(bodies) > 1 {
		d.add(lineOf(bodies[1]), "", "holds a second document; one file holds one declaration")
		return nil, false
	}
	root, ok := bodies[0].(*ast.MappingNode)
	if !ok {
		d.add(lineOf(bodies[0]), "", "is not a mapping of fields to values")
	}
	return root, ok
}

// collect stores the node and line of each field and adds faults for unknown and
// duplicate fields.
func (d *document) collect(root *ast.MappingNode, names []string) {
	d.lines = make(map[string]int, len(names))
	d.values = make(map[string]ast.Node, len(names))
	for _, v := range root.Values {
		name, line := keyName(v.Key), lineOf(v.Key)
		switch {
		case !slices.Contains(names, name):
			d.add(line, name, "is not a field; allowed are "+strings.Join(names, ", "))
		case d.values[name] != nil:
			d.add(line, name, fmt.Sprintf("is declared twice, first in line %d", d.line(name)))
		default:
			d.lines[name] = line
			d.values[name] = v.Value
		}
	}
}

// keyName returns a key without quotes.
func keyName(key ast.MapKeyNode) string {
	if s, ok := key.(*ast.StringNode); ok {
		return s.Value
	}
	return key.String()
}

// setField decodes the node of a field into target, or adds a fault.
func (d *document) setField(name string, target reflect.Value) {
	node, ok := d.values[name]
	if !ok {
		d.add(1, name, "is missing; every field is written out")
		return
	}
	want, ok := hasType(node, target.Type())
	if !ok {
		d.add(d.line(name), name, "must be "+want)
		return
	}
	err := yaml.NodeToValue(node, target.Addr().Interface(), yaml.Strict())
	var overflow *yaml.OverflowError
	switch {
	case errors.As(err, &overflow):
		d.add(d.line(name), name, "is too large; must be "+want+" of at most 63 bits")
	case err != nil:
		d.addError(name, err)
	}
}

// validate adds the faults that validation found, except those of fields that could
// not be decoded.
func (d *document) validate(faults []ffconfig.Fault) {
	undecoded := maps.Clone(d.faulty)
	for _, f := range faults {
		if !undecoded[f.Field] {
			d.add(d.line(f.Field), f.Field, f.Message)
		}
	}
}

// line returns the line of a field, or 1 if the field is missing.
func (d *document) line(field string) int {
	return max(d.lines[field], 1)
}

// itemLine returns the line of an item of a list field, or else the line of the field.
func (d *document) itemLine(field string, i int) int {
	if list, ok := d.values[field].(*ast.SequenceNode); ok && i < len(list.Values) {
		return lineOf(list.Values[i])
	}
	return d.line(field)
}

func (d *document) add(line int, field, message string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Field: field, Message: message})
	if d.faulty == nil {
		d.faulty = make(map[string]bool)
	}
	d.faulty[field] = true
}

// addError adds a fault at the line of a YAML error, or else of the field.
func (d *document) addError(field string, err error) {
	var y yaml.Error
	if !errors.As(err, &y) {
		d.add(d.line(field), field, err.Error())
		return
	}
	line := d.line(field)
	if t := y.GetToken(); t != nil {
		line = t.Position.Line
	}
	d.add(line, field, y.GetMessage())
}

// lineOf returns the line on which a node starts, or 1 if it is unknown.
func lineOf(node ast.Node) int {
	if m, ok := node.(*ast.MappingNode); ok && len(m.Values) > 0 {
		return lineOf(m.Values[0].Key)
	}
	if t := node.GetToken(); t != nil {
		return t.Position.Line
	}
	return 1
}

// fieldNames returns the yaml names of the fields of struct type t, in order.
func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("yaml"))
	}
	return names
}
