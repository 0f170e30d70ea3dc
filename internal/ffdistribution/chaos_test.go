package ffdistribution_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Sizes and limits of the randomised fault test.
const (
	chaosDataCentres   = 3
	chaosPerDataCentre = 3
	// convergeTime is how long a fleet may take to converge after all faults end.
	convergeTime = 40 * time.Second
)

// chaos runs a fleet through random steps and tracks the newest valid version
// published, which the fleet must converge on.
type chaos struct {
	*fleet
	published       []release
	expected        ffconfig.Version
	expectedRelease release
}

// step is one random fault or change.
type step struct {
	name     string
	a, b     int
	variant  string
	duration time.Duration
}

func (s step) String() string {
	return fmt.Sprintf("%s(%d,%d,%s,%v)", s.name, s.a, s.b, s.variant, s.duration)
}

var stepNames = []string{
	"publish", "publish", "publish", "publishFaulty", "race", "stale", "down", "up", "damageSource", "damageWay",
	"cut", "cutOneWay", "cutDataCentre", "heal", "kill", "restart", "restartDataCentre", "freeze", "lossy", "pass", "pass", "pass",
}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			name:     rapid.SampledFrom(stepNames).Draw(t, "name"),
			a:        rapid.IntRange(0, chaosDataCentres*chaosPerDataCentre-1).Draw(t, "a"),
			b:        rapid.IntRange(0, chaosDataCentres*chaosPerDataCentre-1).Draw(t, "b"),
			variant:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "variant"),
			duration: time.Duration(rapid.IntRange(1, 4000).Draw(t, "millis")) * time.Millisecond,
		}
	}), 1, 25).Draw(t, "steps")
}

func (c *chaos) publish(number uint64, variant string, faulty bool) {
	r := newRelease(number, variant, faulty)
	c.published = append(c.published, r)
	if !faulty && r.version.NewerThan(c.expected) {
		c.expected, c.expectedRelease = r.version, r
	}
	c.platform.serve(r)
}

func (c *chaos) highest() uint64 {
	var highest uint64
	for _, r := range c.published {
		highest = max(highest, r.version.Number)
	}
	return highest
}

func (c *chaos) apply(s step) {
	a, b := c.vms[s.a], c.vms[s.b]
	switch s.name {
	case "publish", "publishFaulty":
		c.publish(c.highest()+1, s.variant, s.name == "publishFaulty")
	case "race":
		c.publish(max(c.highest(), 1), s.variant, false)
	case "stale":
		if len(c.published) > 0 {
			c.platform.serve(c.published[s.b%len(c.published)])
		}
	case "down", "up":
		c.platform.setDown(s.name == "down")
	case "damageSource":
		c.platform.update(func() {
			for d := range c.platform.current.pieces {
				c.platform.corrupt[d] = true
			}
		})
	case "damageWay":
		c.network.set(func() { c.network.corrupting = true })
	case "cut", "cutOneWay":
		c.block(a.Name, b.Name)
		if s.name == "cut" {
			c.block(b.Name, a.Name)
		}
	case "cutDataCentre":
		c.cutDataCentre(a.DataCentre)
	case "heal":
		c.heal()
	case "kill":
		c.stop(a)
	case "restart":
		c.start(a, c.platform)
	case "restartDataCentre":
		for _, vm := range c.vms {
			if vm.DataCentre == a.DataCentre {
				c.start(vm, c.platform)
			}
		}
	case "freeze":
		c.block(a.Name, "")
		c.block("", a.Name)
	case "lossy":
		c.network.set(func() { c.network.lossPercent, c.network.duplicatePercent = 30, 30 })
	}
	advance(s.duration)
}

func (f *fleet) block(from, to string) {
	f.network.set(func() { f.network.blocked[[2]string{from, to}] = true })
}

func (f *fleet) cutDataCentre(dataCentre string) {
	for _, a := range f.vms {
		for _, b := range f.vms {
			if (a.DataCentre == dataCentre) != (b.DataCentre == dataCentre) {
				f.block(a.Name, b.Name)
			}
		}
	}
}

func (f *fleet) heal() {
	f.network.set(func() {
		clear(f.network.blocked)
		f.network.lossPercent, f.network.duplicatePercent, f.network.corrupting = 0, 0, false
	})
}

// repair ends all faults, starts stopped daemons, and serves the newest valid version.
func (c *chaos) repair() {
	c.heal()
	c.platform.update(func() {
		c.platform.down = false
		clear(c.platform.corrupt)
	})
	if c.expected.IsZero() {
		c.publish(c.highest()+1, "a", false)
	}
	c.platform.serve(c.expectedRelease)
	for _, vm := range c.vms {
		if _, ok := c.running[vm.Name]; !ok {
			c.start(vm, c.platform)
		}
	}
}

// verify returns the problems found after the repair; empty if there are none.
func (c *chaos) verify() string {
	problems := slices.Clone(c.behind(c.expected))
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(append(problems, c.faults...), "; ")
}

func runChaos(t *testing.T, steps []step) string {
	var problems string
	synctest.Test(t, func(*testing.T) {
		c := &chaos{fleet: newFleet(chaosDataCentres, chaosPerDataCentre)}
		defer c.stopAll()
		c.startAll()
		for _, s := range steps {
			c.apply(s)
		}
		c.repair()
		advance(convergeTime)
		problems = c.verify()
	})
	return problems
}

// TestFleetConvergesOnNewestVersion checks that after any sequence of publications
// and faults a fleet converges on the newest valid version published.
func TestFleetConvergesOnNewestVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		if problems := runChaos(t, steps); problems != "" {
			rt.Fatalf("fleet did not converge on the newest version after %v: %s", steps, problems)
		}
	})
}
