// Package ffnode assembles the daemon that carries a mesh's requests: entry, gate
// and the spreading of what the store says. It starts and stops them without
// cutting a request.
package ffnode
