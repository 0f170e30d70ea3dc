package ffoutbound

import (
	"encoding/json"
	"os"
	"testing"
)

// spillMargin is the share of the calls that may cross to another data centre although their
// own has room for them.
const spillMargin = 0.05

// TestUnevenDemand guards against calls that cross to another data centre although their own has
// room: the first of three gets 43 in 100 of the calls. What it has no room for must cross.
func TestUnevenDemand(t *testing.T) {
	b, err := os.ReadFile("testdata/uneven.json")
	if err != nil {
		t.Fatal(err)
	}
	var script loadScript
	if err := json.Unmarshal(b, &script); err != nil {
		t.Fatal(err)
	}
	sim := newSimulation(script)
	sim.pick = sim.pickCheapest
	sim.run()
	for n, p := range script.Phases {
		got := sumUp(sim.took[n], script)
		crossed := float64(sim.crossed[n]) / float64(got.calls)
		needed := max(script.FirstShare-1/(p.Load*float64(script.DataCentres)), 0)
		t.Logf("load %.2f: %v, %.2f crossed, %.2f had to", p.Load, got, crossed, needed)
		if crossed > needed+spillMargin {
			t.Errorf("load %.2f: %.2f of the calls crossed, %.2f had to", p.Load, crossed, needed)
		}
	}
}
