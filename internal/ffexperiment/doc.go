// Package ffexperiment measures the product against baselines, with real
// processes on loopback and a fixed seed.
package ffexperiment
