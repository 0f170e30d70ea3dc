package ffplatform

import (
	"bytes"
	"encoding/json"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// MaxVMListBytes is the maximum size of the encoded list of VMs, in bytes.
const MaxVMListBytes = 4 << 20

// VMList is the platform's list of VMs at one revision.
type VMList struct {
	// Revision identifies the list; a watch without a change returns the
	// revision that it was given, without VMs.
	Revision uint64
	VMs      []ffmember.VM
}

// listedVM is a VM as encoded in the list. State is a pointer so that a missing
// state, which is an error, differs from live.
type listedVM struct {
	ffmember.VM
	State *ffmember.State `json:"state"`
}

// decodeVMs decodes a list of VMs. Unknown fields, missing fields except the
// operator address, and duplicate VM names are errors.
func decodeVMs(content []byte) ([]ffmember.VM, error) {
	var listed []listedVM
	d := json.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	if err := d.Decode(&listed); err != nil {
		return nil, err
	}
	if d.More() {
		return nil, merry.New("trailing data after the list")
	}
	if listed == nil {
		return nil, merry.New("list is null")
	}
	vms := make([]ffmember.VM, 0, len(listed))
	seen := make(map[string]bool, len(listed))
	for _, l := range listed {
		if err := l.validate(); err != nil {
			return nil, err
		}
		if seen[l.Name] {
			return nil, merry.Errorf("VM %q is listed twice", l.Name)
		}
		seen[l.Name] = true
		vm := l.VM
		vm.State = *l.State
		vms = append(vms, vm)
	}
	return vms, nil
}

// validate checks that the required fields are set and the addresses valid.
func (l listedVM) validate() error {
	switch {
	case l.Name == "":
		return merry.New("a VM has no name")
	case l.DataCentre == "":
		return merry.Errorf("VM %q has no dataCentre", l.Name)
	case l.Service == "":
		return merry.Errorf("VM %q has no service", l.Name)
	case l.State == nil:
		return merry.Errorf("VM %q has no state", l.Name)
	}
	if _, err := netip.ParseAddrPort(l.PeerAddress); err != nil {
		return merry.Prependf(err, "VM %q peerAddress", l.Name)
	}
	if _, err := netip.ParseAddrPort(l.ForwardAddress); err != nil {
		return merry.Prependf(err, "VM %q forwardAddress", l.Name)
	}
	if l.OperatorAddress == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(l.OperatorAddress); err != nil {
		return merry.Prependf(err, "VM %q operatorAddress", l.Name)
	}
	return nil
}
