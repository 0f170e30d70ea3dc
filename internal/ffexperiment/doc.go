// Package ffexperiment compares the product with baselines, with real processes on
// loopback and a fixed seed.
package ffexperiment
