package ffoutbound

import (
	"net/netip"
	"time"
)

const (
	// cutOffFailures is the number of VMs of a data centre that must fail, with no
	// contact to any other there, for the whole data centre to count as cut off.
	cutOffFailures = 3
	// contactTime is how long after a contact a data centre does not count as cut off.
	contactTime = 300 * time.Millisecond
)

// centreState is what the entry knows about its path to a data centre. When a data
// centre is cut off, hundreds of VMs turn unreachable at once, and finding that out for
// each of them would cost a call each.
type centreState struct {
	contactAt time.Time
	// failed holds the VMs to which calls failed since contactAt.
	failed map[netip.Addr]bool
}

// contact records a heartbeat or a reply from the data centre.
func (c *centreState) contact(now time.Time) {
	c.contactAt = now
	clear(c.failed)
}

// fail records a call to vm that got no reply.
func (c *centreState) fail(vm netip.Addr) {
	if c.failed == nil {
		c.failed = make(map[netip.Addr]bool)
	}
	c.failed[vm] = true
}

// cutOff reports whether the data centre is probably unreachable.
func (c *centreState) cutOff(now time.Time) bool {
	return len(c.failed) >= cutOffFailures && now.Sub(c.contactAt) > contactTime
}
