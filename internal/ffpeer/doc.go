// Package ffpeer talks to the other daemons over drpc: a server to which
// services are registered, a bounded pool of connections, and the client of the
// configuration service.
//
// To assemble: one Meter; a Server with the Meter, to which Register adds each
// service before Serve; a Pool with the same Meter, closed last; a Client on the
// Pool. Pool.Conn gives a connection for the generated client of any service.
package ffpeer
