package ffcommand

import (
	"reflect"
	"strings"
)

// subcommandPrefix is the prefix of a command's name in a struct tag of go-arg.
const subcommandPrefix = "subcommand:"

// commandNames returns the names of all commands, in the order of the help.
func commandNames() []string {
	t := reflect.TypeFor[arguments]()
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, commandName(t.Field(i)))
	}
	return names
}

// commandHelp returns the help text of a command, or "" if there is no such command.
func commandHelp(name string) string {
	t := reflect.TypeFor[arguments]()
	for i := range t.NumField() {
		if f := t.Field(i); commandName(f) == name {
			return f.Tag.Get("help")
		}
	}
	return ""
}

// commandName returns the name of the command in field f of arguments.
func commandName(f reflect.StructField) string {
	return strings.TrimPrefix(f.Tag.Get("arg"), subcommandPrefix)
}
