// Package ffdaemon assembles the one process beside each target, starts its
// duties, and stops them without cutting a call.
package ffdaemon
