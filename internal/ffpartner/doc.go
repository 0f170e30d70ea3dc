// Package ffpartner decides to which daemons a daemon sends its next heartbeats. It is
// for fleets of hundreds of daemons, in which each calls few of the others: the number
// of heartbeats does not grow with the fleet, and the load of a gate reaches those
// entries soon that call it.
package ffpartner
