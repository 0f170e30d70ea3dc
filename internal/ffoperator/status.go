package ffoperator

import "fireflyfall.dev/fireflyfall/pkg/ffconfig"

// Status is the state of a daemon, as reported on /v1/status and /readyz.
type Status struct {
	VM          string           `json:"vm"`
	DataCentre  string           `json:"dataCentre"`
	Service     string           `json:"service"`
	Incarnation uint64           `json:"incarnation"`
	Version     ffconfig.Version `json:"version"`
	Ready       bool             `json:"ready"`
	Reason      string           `json:"reason,omitempty"`
	Draining    bool             `json:"draining"`
	Live        int              `json:"live"`
	Leaving     int              `json:"leaving"`
}
