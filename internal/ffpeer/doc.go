// Package ffpeer connects daemons over drpc. It has a server to which services are
// registered, a bounded pool of connections, and a client of the configuration
// service.
//
// A daemon has one Meter; a Server with this Meter, to which Register adds each
// service before Serve; a Pool with the same Meter, closed last; and a Client with
// this Pool. Pool.Conn returns a connection for the generated client of any service.
package ffpeer
