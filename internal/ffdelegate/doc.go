// Package ffdelegate decides which daemons read the store, and when each of them does.
// It is for fleets in which hundreds of daemons notice the same start, change or outage
// at the same moment: the number of reads follows the number of data centres.
package ffdelegate
