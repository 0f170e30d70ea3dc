// Package ffreport draws one page from the JSON lines of the experiments.
package ffreport
