package ffcommand

import (
	"reflect"
	"strings"
)

// subcommandTag is what go-arg expects before the name of a command.
const subcommandTag = "subcommand:"

// commandNames returns the names of all commands in the order of the help.
func commandNames() []string {
	t := reflect.TypeFor[arguments]()
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, commandName(t.Field(i)))
	}
	return names
}

// commandHelp returns what a command does, in one sentence.
func commandHelp(name string) string {
	t := reflect.TypeFor[arguments]()
	for i := range t.NumField() {
		if f := t.Field(i); commandName(f) == name {
			return f.Tag.Get("help")
		}
	}
	return ""
}

func commandName(f reflect.StructField) string {
	return strings.TrimPrefix(f.Tag.Get("arg"), subcommandTag)
}
