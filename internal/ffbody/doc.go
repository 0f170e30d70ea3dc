// Package ffbody holds bodies of requests that are too long to be kept in memory.
package ffbody
