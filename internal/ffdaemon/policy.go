package ffdaemon

import (
	"maps"
	"slices"
	"strings"

	"fireflyfall.dev/fireflyfall/internal/ffbalance"
	"fireflyfall.dev/fireflyfall/internal/ffgate"
)

// switches holds which policies of a daemon are turned off.
type switches struct {
	balance   ffbalance.Switches
	gate      ffgate.Switches
	noHedging bool
	// noSharedLimits enforces each customer's contract at this daemon alone, without
	// coordination with the other daemons.
	noSharedLimits bool
}

// policies maps the name of each policy to the function that turns it off.
var policies = map[string]func(*switches){
	"twoChoices":      func(s *switches) { s.balance.RoundRobin = true },
	"loadReports":     func(s *switches) { s.balance.NoLoadReports = true },
	"shunning":        func(s *switches) { s.balance.NoOutlierEjection = true },
	"ownTarget":       func(s *switches) { s.balance.NoOwnTarget = true },
	"spill":           func(s *switches) { s.balance.NoSpill = true },
	"fairQueue":       func(s *switches) { s.gate.NoFairQueue = true },
	"reservedSlots":   func(s *switches) { s.gate.NoReservedSlots = true },
	"deadlineRefusal": func(s *switches) { s.gate.NoDeadlineRefusal = true },
	"hedging":         func(s *switches) { s.noHedging = true },
	"sharedLimits":    func(s *switches) { s.noSharedLimits = true },
}

func policyNames() string { return strings.Join(slices.Sorted(maps.Keys(policies)), ", ") }

func provideSwitches(s Settings) switches {
	var off switches
	for _, name := range s.Off {
		policies[name](&off)
	}
	return off
}
