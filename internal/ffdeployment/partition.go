package ffdeployment

import "fireflyfall.dev/fireflyfall/internal/ffrelay"

// SetLinkFault injects f into all connections that daemons of the data centre from open to
// daemons of the data centre to; the zero Fault removes it. It requires relays.
func (d *Deployment) SetLinkFault(from, to string, f ffrelay.Fault) error {
	sources := d.In(from)
	if len(sources) == 0 {
		return nil
	}
	source := sources[0].SourceAddress()
	for _, n := range d.In(to) {
		if err := n.PeerRelay.ForSource(source).SetFault(f); err != nil {
			return err
		}
		if err := n.ForwardRelay.ForSource(source).SetFault(f); err != nil {
			return err
		}
	}
	return nil
}

// Partition injects f between a data centre and all others, in both directions; the zero
// Fault removes it. It requires relays.
func (d *Deployment) Partition(dataCentre string, f ffrelay.Fault) error {
	for _, other := range d.DataCentres() {
		if other == dataCentre {
			continue
		}
		if err := d.SetLinkFault(dataCentre, other, f); err != nil {
			return err
		}
		if err := d.SetLinkFault(other, dataCentre, f); err != nil {
			return err
		}
	}
	return nil
}

// DataCentres returns the names of the data centres, in the order of the fleet.
func (d *Deployment) DataCentres() []string {
	var names []string
	seen := make(map[string]bool)
	for _, n := range d.Nodes {
		if !seen[n.VM.DataCentre] {
			seen[n.VM.DataCentre] = true
			names = append(names, n.VM.DataCentre)
		}
	}
	return names
}
