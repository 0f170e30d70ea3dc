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
	"twoChoices":      func(s *switches) { s.balance.RoundRobin = true },
	"loadReports":     func(s *switches) { s.balance.NoLoad = true },
	"shunning":        func(s *switches) { s.balance.NoShunning = true },
	"ownTarget":       func(s *switches) { s.balance.NoOwn = true },
	"spill":           func(s *switches) { s.balance.NoSpill = true },
	"fairQueue":       func(s *switches) { s.gate.OneQueue = true },
	"reservedSlots":   func(s *switches) { s.gate.NoReserve = true },
	"deadlineRefusal": func(s *switches) { s.gate.NoRefusal = true },
	"hedging":         func(s *switches) { s.noHedge = true },
	"sharedLimits":    func(s *switches) { s.aloneLimits = true },
}

func policyNames() string { return strings.Join(slices.Sorted(maps.Keys(policies)), ", ") }

func provideSwitches(s Settings) switches {
	var off switches
	for _, name := range s.Off {
		policies[name](&off)
	}
	return off
}
