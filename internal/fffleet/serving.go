package fffleet

import "net/netip"

// Serving returns the targets of a service that take new requests, in the order
// of their IDs. The caller does not change it.
func (f Fleet) Serving(service string) []Target { return f.serving[service] }

// At returns the latest target at an address. The entries of those before it may
// still be listed for some time.
func (f Fleet) At(address netip.AddrPort) (Target, bool) {
	t, ok := f.latest[address]
	return t, ok
}

// index finds the latest target at each address, and groups those that are ready
// by service.
func (f *Fleet) index() {
	f.latest = make(map[netip.AddrPort]Target, len(f.targets))
	all := f.All()
	for _, t := range all {
		if last, ok := f.latest[t.Address]; !ok || t.replaces(last) {
			f.latest[t.Address] = t
		}
	}
	f.serving = make(map[string][]Target)
	for _, t := range all {
		if t.State == StateReady && f.latest[t.Address].ID == t.ID {
			f.serving[t.Service] = append(f.serving[t.Service], t)
		}
	}
}
