// Package ffcommand implements the subcommands of the program fireflyfall.
package ffcommand
