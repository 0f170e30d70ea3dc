package fffleet

import "net/netip"

// Serving returns the targets of a service that accept new requests, sorted by ID.
// The caller must not modify the result.
func (f Fleet) Serving(service string) []Target { return f.serving[service] }

// At returns the latest target at an address. Entries of earlier processes at the
// same address may stay listed for some time.
func (f Fleet) At(address netip.AddrPort) (Target, bool) {
	t, ok := f.latest[address]
	if !ok {
		return Target{}, false
	}
	return *t, true
}

// Withdrawn returns the IDs of the ready targets of base that are not ready in f.
func (f Fleet) Withdrawn(base Fleet) []string {
	var ids []string
	for _, t := range base.targets {
		if now, ok := f.Get(t.ID); t.State == StateReady && (!ok || now.State != StateReady) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// index finds the latest target at each address and groups the ready ones by
// service.
func (f *Fleet) index() {
	f.latest = make(map[netip.AddrPort]*Target, len(f.targets))
	for _, t := range f.targets {
		if t.State == StateReplaced {
			continue
		}
		if last, ok := f.latest[t.Address]; !ok || t.supersedes(*last) {
			f.latest[t.Address] = t
		}
	}
	f.serving = make(map[string][]Target)
	for _, t := range f.targets {
		if t.State == StateReady && f.latest[t.Address] == t && !f.IsEvacuated(t.DataCentre) {
			f.serving[t.Service] = append(f.serving[t.Service], *t)
		}
	}
}
