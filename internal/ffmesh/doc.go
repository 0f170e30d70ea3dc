// Package ffmesh holds the types shared by the entry, which receives requests from
// clients, and the gate, which runs them at a target: the call, the reply, and the
// interfaces between them.
package ffmesh
