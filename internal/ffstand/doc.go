// Package ffstand provides simple test doubles of the platform and of targets,
// with faults that tests inject at run time.
package ffstand
