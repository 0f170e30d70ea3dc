package ffdeployment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprocess"
)

// Plan is the configuration of a deployment. Fields with a zero value use their defaults.
type Plan struct {
	// Declarations is the directory of contracts, services and routes.
	Declarations string
	// Fleet lists the VMs with name, data centre and service; Start assigns the addresses.
	Fleet []ffmember.VM
	// MaxFleet is the maximum fleet size passed to daemons; zero means the size of Fleet.
	MaxFleet int
	// PlatformRate is the rate limit of the platform, in calls per second; zero means 2000.
	PlatformRate float64
	// VMLag is the delay after which readers of the platform see changes of its list of VMs.
	VMLag time.Duration
	// Relays enables fault injection: a relay is placed in front of each daemon's peer and
	// forward ports, each target and the platform.
	Relays bool
	// TargetArgs returns further arguments of each target; nil means none.
	TargetArgs TargetArgs
	// DaemonArgs are additional arguments of all daemons.
	DaemonArgs []string
	// Binaries builds the programs; nil means that the deployment builds its own.
	Binaries *ffprocess.Binaries
	// WithoutTargets starts daemons without targets, to measure only the control traffic.
	WithoutTargets bool
}

// count returns the number of VMs in a data centre.
func (p *Plan) count(dataCentre string) int {
	n := 0
	for _, vm := range p.Fleet {
		if vm.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// TargetArgs returns further arguments of the target on a VM.
type TargetArgs func(vm ffmember.VM) []string

// ReadFleet reads the fleet from fleet.json in a deployment's directory.
func ReadFleet(directory string) ([]ffmember.VM, error) {
	content, err := os.ReadFile(filepath.Join(directory, "fleet.json"))
	if err != nil {
		return nil, &Error{Op: "read fleet", Kind: KindFile, Err: err}
	}
	var fleet []ffmember.VM
	if err := json.Unmarshal(content, &fleet); err != nil {
		return nil, &Error{Op: "read fleet", Kind: KindFile, Err: err}
	}
	return fleet, nil
}

// ReadKeys reads the keys of the customers from keys.json in a deployment's directory. The
// result maps customer names to keys.
func ReadKeys(directory string) (map[string]string, error) {
	content, err := os.ReadFile(filepath.Join(directory, "keys.json"))
	if err != nil {
		return nil, &Error{Op: "read keys", Kind: KindFile, Err: err}
	}
	var keys map[string]string
	if err := json.Unmarshal(content, &keys); err != nil {
		return nil, &Error{Op: "read keys", Kind: KindFile, Err: err}
	}
	return keys, nil
}

// Sample returns the first n VMs, or fewer, of each service in each data centre.
func Sample(fleet []ffmember.VM, n int) []ffmember.VM {
	type group struct{ dataCentre, service string }
	counts := make(map[group]int)
	var sample []ffmember.VM
	for _, vm := range fleet {
		g := group{dataCentre: vm.DataCentre, service: vm.Service}
		if counts[g] < n {
			counts[g]++
			sample = append(sample, vm)
		}
	}
	return sample
}
