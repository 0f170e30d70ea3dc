// Package ffhop runs HTTP exchanges over pooled connections, one at a time on each.
// Its errors report whether the peer may have received the whole request.
package ffhop
