// Package ffproof holds the end-to-end tests of the guarantees about calls. The
// scripts in testdata/script start whole deployments as processes, inject faults,
// and compare the answers of callers with the executions that targets recorded.
package ffproof
