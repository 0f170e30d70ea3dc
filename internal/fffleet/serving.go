package fffleet

// Serving returns the targets of a service that take new requests, in the order
// of their IDs. The caller does not change it.
func (f Fleet) Serving(service string) []Target { return f.serving[service] }

// index groups the ready targets by service.
func (f *Fleet) index() {
	f.serving = make(map[string][]Target)
	for _, t := range f.All() {
		if t.State == StateReady {
			f.serving[t.Service] = append(f.serving[t.Service], t)
		}
	}
}
