package ffdeployment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprocess"
)

// Plan describes a deployment. The zero value of each field has a default.
type Plan struct {
	// Declarations is the directory of contracts, services and routes.
	Declarations string
	// Fleet lists the VMs by name, data centre and service.
	Fleet []ffmember.VM
	// MaxFleet is the fleet size that daemons assume; that of Fleet when zero.
	MaxFleet int
	// PlatformRate is the platform's ceiling, in calls a second; 2000 when zero.
	PlatformRate float64
	// VMLag is the time for which the platform hides changes of its VM list.
	VMLag time.Duration
	// Relays puts a relay before every port that daemons use between each other
	// and before the platform, so that faults can be injected.
	Relays bool
	// Targets returns the arguments of each target; none when nil.
	Targets TargetArgs
	// DaemonArgs are further arguments of every daemon.
	DaemonArgs []string
	// Binaries builds the programs; those of the deployment alone when nil.
	Binaries *ffprocess.Binaries
	// WithoutTargets starts daemons without targets, to measure control alone.
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

// TargetArgs returns the arguments of the target on a VM; none when nil.
type TargetArgs func(vm ffmember.VM) []string

// ReadFleet returns the fleet of a deployment's directory.
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

// ReadKeys returns the keys of the customers of a deployment's directory.
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

// Sample returns up to n VMs of each service in each data centre.
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
