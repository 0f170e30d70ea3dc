package ffdeclaration

import (
	"encoding"
	"reflect"

	"github.com/goccy/go-yaml/ast"
)

// Forms of a value, as faults name them.
const (
	formWhole  = "a whole number"
	formNumber = "a number"
	formTruth  = "true or false"
	formText   = "a text"
	formList   = "a list of texts"
)

// fits reports whether a node has the form that a field needs, without any
// conversion, and names that form.
func fits(node ast.Node, t reflect.Type) (string, bool) {
	switch t.Kind() {
	case reflect.String:
		return formText, isText(node)
	case reflect.Bool:
		return formTruth, node.Type() == ast.BoolType
	case reflect.Float64:
		return formNumber, node.Type() == ast.IntegerType || node.Type() == ast.FloatType
	case reflect.Slice:
		return formList, isTextList(node)
	}
	if t.Implements(textMarshaler) {
		return formText, isText(node)
	}
	return formWhole, node.Type() == ast.IntegerType
}

var textMarshaler = reflect.TypeFor[encoding.TextMarshaler]()

func isText(node ast.Node) bool { return node.Type() == ast.StringType }

func isTextList(node ast.Node) bool {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		return false
	}
	for _, v := range list.Values {
		if !isText(v) {
			return false
		}
	}
	return true
}
