// Package ffproof holds the proofs of the promises about calls: scripts in
// testdata/script that start whole deployments as processes, inject faults, and
// compare what callers were told with what the targets recorded.
package ffproof
