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
		names = append(names, strings.TrimPrefix(t.Field(i).Tag.Get("arg"), subcommandTag))
	}
	return names
}
