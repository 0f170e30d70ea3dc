// Package ffstand provides small stand-ins for the platform and for targets,
// with faults that tests switch at run time.
package ffstand
