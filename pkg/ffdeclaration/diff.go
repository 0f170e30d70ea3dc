package ffdeclaration

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Action is the type of a change between two versions.
type Action int

// Types of changes to a piece.
const (
	ActionChanged Action = iota // changed
	ActionAdded                 // added
	ActionRemoved               // removed
)

// Change is one difference between two versions.
type Change struct {
	Action Action
	Kind   ffconfig.PieceKind
	Name   string
	// Field, From and To are empty unless Action is ActionChanged. The values are in JSON.
	Field string
	From  string
	To    string
}

// String formats the change as one line.
func (c Change) String() string {
	if c.Action != ActionChanged {
		return fmt.Sprintf("%s %s: %s", c.Kind, c.Name, c.Action)
	}
	return fmt.Sprintf("%s %s: %s: %s -> %s", c.Kind, c.Name, c.Field, c.From, c.To)
}

// Diff returns the changes from version a to version b, ordered by kind, name and field.
func Diff(a, b *ffconfig.Snapshot) []Change {
	changes := diffPieces(ffconfig.PieceContract, contracts(a), contracts(b))
	changes = append(changes, diffPieces(ffconfig.PieceService, services(a), services(b))...)
	return append(changes, diffPieces(ffconfig.PieceRoute, routes(a), routes(b))...)
}

func diffPieces[T any](kind ffconfig.PieceKind, a, b map[string]*T) []Change {
	names := maps.Clone(a)
	maps.Copy(names, b)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		from, before := a[name]
		to, after := b[name]
		switch {
		case !before:
			changes = append(changes, Change{Action: ActionAdded, Kind: kind, Name: name})
		case !after:
			changes = append(changes, Change{Action: ActionRemoved, Kind: kind, Name: name})
		default:
			changes = append(changes, diffFields(kind, name, from, to)...)
		}
	}
	return changes
}

// diffFields compares two pieces field by field.
func diffFields[T any](kind ffconfig.PieceKind, name string, a, b *T) []Change {
	var changes []Change
	from, to := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i, field := range fieldNames(from.Type()) {
		x, y := encodeJSON(from.Field(i)), encodeJSON(to.Field(i))
		if x != y {
			changes = append(changes, Change{Kind: kind, Name: name, Field: field, From: x, To: y})
		}
	}
	return changes
}

func encodeJSON(v reflect.Value) string {
	content, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(content)
}

func contracts(s *ffconfig.Snapshot) map[string]*ffconfig.Contract {
	all := make(map[string]*ffconfig.Contract)
	for _, name := range s.Customers() {
		all[name], _ = s.Contract(name)
	}
	return all
}

func services(s *ffconfig.Snapshot) map[string]*ffconfig.Service {
	all := make(map[string]*ffconfig.Service)
	for _, name := range s.Services() {
		all[name], _ = s.Service(name)
	}
	return all
}

func routes(s *ffconfig.Snapshot) map[string]*ffconfig.Route {
	all := make(map[string]*ffconfig.Route)
	for _, r := range s.Routes() {
		all[r.Name] = r
	}
	return all
}
