package ffdaemon

import (
	"maps"
	"slices"
	"strings"

	"fireflyfall.dev/fireflyfall/internal/ffbalance"
	"fireflyfall.dev/fireflyfall/internal/ffgate"
)

// switches are the policies of a daemon that are turned off.
type switches struct {
	balance ffbalance.Switches
	gate    ffgate.Switches
	noHedge bool
	// aloneLimits holds each customer to its contract at this daemon alone.
	aloneLimits bool
}

// policies turn single policies off, by name.
var policies = map[string]func(*switches){
	"roundRobin":   func(s *switches) { s.balance.RoundRobin = true },
	"noLoad":       func(s *switches) { s.balance.NoLoad = true },
	"noShunning":   func(s *switches) { s.balance.NoShunning = true },
	"noOwn":        func(s *switches) { s.balance.NoOwn = true },
	"noSpill":      func(s *switches) { s.balance.NoSpill = true },
	"oneQueue":     func(s *switches) { s.gate.OneQueue = true },
	"noReserve":    func(s *switches) { s.gate.NoReserve = true },
	"noRefusal":    func(s *switches) { s.gate.NoRefusal = true },
	"noHedge":      func(s *switches) { s.noHedge = true },
	"sharedLimits": func(s *switches) { s.aloneLimits = true },
}

func policyNames() string { return strings.Join(slices.Sorted(maps.Keys(policies)), ", ") }

func provideSwitches(s Settings) switches {
	var off switches
	for _, name := range s.Off {
		policies[name](&off)
	}
	return off
}
