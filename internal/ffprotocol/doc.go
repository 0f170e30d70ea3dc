// Package ffprotocol contains the messages and services for communication between
// daemons. The code is generated from the .proto files of this directory, except
// for the checksums of summaries and evidence.
package ffprotocol
