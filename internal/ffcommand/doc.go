// Package ffcommand holds the commands of the program fireflyfall, one in each file.
package ffcommand
