package ffload

import (
	"embed"
	"encoding/json"

	"github.com/ansel1/merry/v2"
)

//go:embed scenarios/*.json
var scenarios embed.FS

// Scenario defines the calls and the contract change that the demo of a deployment uses.
type Scenario struct {
	// Deployment is the name of the deployment's directory in the examples directory.
	Deployment string `json:"deployment"`
	// Once is a call that must not run more than once.
	Once ScenarioCall `json:"once"`
	// Lookup is a short idempotent call.
	Lookup ScenarioCall `json:"lookup"`
	// Upload is a long-running call.
	Upload ScenarioCall `json:"upload"`
	// Careless is a call of the customer that exceeds its contract.
	Careless ScenarioCall `json:"careless"`
	// Amend is the contract change that the demo publishes.
	Amend Amendment `json:"amend"`
}

// ScenarioCall is one call of a customer.
type ScenarioCall struct {
	Customer string `json:"customer"`
	Route    string `json:"route"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Service  string `json:"service"`
	Body     string `json:"body"`
}

// Amendment replaces the first occurrence of From in the contract of Customer by To.
type Amendment struct {
	Customer string `json:"customer"`
	From     string `json:"from"`
	To       string `json:"to"`
}

// ReadScenario returns the scenario of a deployment, or an error of KindUsage if the
// deployment is unknown.
func ReadScenario(deployment string) (Scenario, error) {
	var s Scenario
	content, err := scenarios.ReadFile("scenarios/" + deployment + ".json")
	if err != nil {
		return s, &Error{Op: "read scenario", Kind: KindUsage, Err: merry.Errorf("deployment %q is unknown, allowed are sicily and ulaanbaatar", deployment)}
	}
	if err := json.Unmarshal(content, &s); err != nil {
		return s, &Error{Op: "read scenario", Kind: KindFile, Err: err}
	}
	return s, nil
}
