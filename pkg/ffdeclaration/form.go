package ffdeclaration

import (
	"encoding"
	"reflect"

	"github.com/goccy/go-yaml/ast"
)

// Names of the value types, as used in fault messages.
const (
	typeInteger    = "a whole number"
	typeNumber     = "a number"
	typeBool       = "true or false"
	typeString     = "a text"
	typeStringList = "a list of texts"
)

// hasType returns the name of the value type that t requires and reports whether
// node has that type without conversion.
func hasType(node ast.Node, t reflect.Type) (string, bool) {
	switch t.Kind() {
	case reflect.String:
		return typeString, isString(node)
	case reflect.Bool:
		return typeBool, node.Type() == ast.BoolType
	case reflect.Float64:
		return typeNumber, node.Type() == ast.IntegerType || node.Type() == ast.FloatType
	case reflect.Slice:
		return typeStringList, isStringList(node)
	}
	if t.Implements(textMarshaler) {
		return typeString, isString(node)
	}
	return typeInteger, node.Type() == ast.IntegerType
}

var textMarshaler = reflect.TypeFor[encoding.TextMarshaler]()

func isString(node ast.Node) bool { return node.Type() == ast.StringType }

func isStringList(node ast.Node) bool {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		return false
	}
	for _, v := range list.Values {
		if !isString(v) {
			return false
		}
	}
	return true
}
