// Package ffprotocol holds the messages and services that daemons use between
// each other. The generated code comes from the .proto files beside it.
package ffprotocol
