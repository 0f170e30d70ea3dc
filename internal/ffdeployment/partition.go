package ffdeployment

import "fireflyfall.dev/fireflyfall/internal/ffrelay"

// SetLink sets the fault of every connection that daemons of one data centre
// open to those of another; the zero Fault ends it. The deployment needs relays.
func (d *Deployment) SetLink(from, to string, f ffrelay.Fault) error {
	sources := d.In(from)
	if len(sources) == 0 {
		return nil
	}
	source := sources[0].Source()
	for _, n := range d.In(to) {
		if err := n.Peer.From(source).SetFault(f); err != nil {
			return err
		}
		if err := n.Forward.From(source).SetFault(f); err != nil {
			return err
		}
	}
	return nil
}

// Partition sets the fault between a data centre and every other, in both ways.
func (d *Deployment) Partition(dataCentre string, f ffrelay.Fault) error {
	for _, other := range d.DataCentres() {
		if other == dataCentre {
			continue
		}
		if err := d.SetLink(dataCentre, other, f); err != nil {
			return err
		}
		if err := d.SetLink(other, dataCentre, f); err != nil {
			return err
		}
	}
	return nil
}

// DataCentres returns the data centres of the deployment, in the order of its fleet.
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
