// Package ffscrape reads the metrics of a running daemon.
package ffscrape
