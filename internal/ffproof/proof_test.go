package ffproof_test

import (
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"fireflyfall.dev/fireflyfall/internal/ffprocess"
)

// scriptKey is the key of the script in the values of its testscript environment.
type scriptKey struct{}

// command implements one command of the scripts.
type command func(s *script, args []string) error

// commands are the commands of the scripts, each with its arguments.
var commands = map[string]command{
	// deploy VM:DATACENTRE:SERVICE...
	"deploy": (*script).deploy,
	// lag DURATION: the platform delays later changes of its VM list by DURATION.
	"lag": (*script).lag,
	// publish DECLARATIONS NUMBER: publishes a version and does not wait for it.
	"publish": (*script).publish,
	// await VM...: waits until the VMs, or all, have the latest version in force.
	"await": (*script).await,
	// mint TOKEN at=VM customer=NAME route=NAME [gate=VM]: gets a token.
	"mint": (*script).mint,
	// start CALL at=VM customer=NAME route=NAME [like=CALL] [token=TOKEN]
	// [work=MILLIS] [timeout=MILLIS] [crash=KIND] [bytes=NUMBER] [connections=kept]:
	// sends a call and does not wait for its answer.
	"start": (*script).start,
	// running CALL: waits until a target runs the call.
	"running": (*script).running,
	// recorded CALL: waits until a target has finished the call.
	"recorded": (*script).recorded,
	// finish CALL OUTCOME...: waits for the answer and checks its outcome.
	"finish": (*script).finish,
	// reason CALL REASON: checks the reason of a refusal.
	"reason": (*script).reason,
	// runs CALL NUMBER...: checks how often the call ran.
	"runs": (*script).runs,
	// same CALL CALL: checks that two calls have the same answer.
	"same": (*script).same,
	// freeze, wake, sigkill, restart daemon|target VM...
	"freeze":  (*script).freeze,
	"wake":    (*script).wake,
	"sigkill": (*script).kill,
	"restart": (*script).restart,
	// sigterm VM: asks a daemon to stop; stopped VM: waits until it has exited with
	// status 0.
	"sigterm": (*script).stop,
	"stopped": (*script).stopped,
	// forward, peers FROM TO KIND [DIRECTION]: sets a fault between data centres.
	"forward": (*script).forward,
	"peers":   (*script).peers,
	// platform DATACENTRE KIND [DIRECTION], targetlink VM KIND [DIRECTION]: sets a
	// fault of the connections to the platform or to the target.
	"platform":   (*script).platform,
	"targetlink": (*script).targetLink,
	// leaving VM...: waits until the daemon of each VM knows of a VM that is leaving.
	"leaving": (*script).leaving,
	// load NAME at=VM,VM customer=NAME route=NAME: calls in a loop; unload NAME
	// [OUTCOME...]: stops it and checks the outcomes.
	"load":   (*script).load,
	"unload": (*script).unload,
	// careless at=VM customer=NAME KIND: misbehaves until the end of the script.
	"careless": (*script).careless,
	// mark MARK: stores the time; none VM|ROUTE MARK: checks that no call sent after
	// the mark ran at the VM or on the route.
	"mark": (*script).mark,
	"none": (*script).none,
	// judge: compares the answers of all calls with the records of the targets.
	"judge": (*script).judge,
}

// TestProofs runs every script in testdata/script.
func TestProofs(t *testing.T) { runScripts(t, "testdata/script") }

// TestPlannedStopOfEntry runs the script of a planned stop of the daemon that
// callers use.
func TestPlannedStopOfEntry(t *testing.T) { runScripts(t, "testdata/red") }

func runScripts(t *testing.T, directory string) {
	t.Helper()
	binaries := &ffprocess.Binaries{Directory: t.TempDir()}
	declarations, err := filepath.Abs("testdata")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:  directory,
		Cmds: scriptCommands(),
		Setup: func(e *testscript.Env) error {
			s := newScript(e.WorkDir, declarations, binaries)
			e.Values[scriptKey{}] = s
			e.Defer(s.close)
			return nil
		},
	})
}

func scriptCommands() map[string]func(*testscript.TestScript, bool, []string) {
	all := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, c := range commands {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			s := ts.Value(scriptKey{}).(*script)
			if err := c(s, args); err != nil {
				ts.Fatalf("%s %q: %v", name, args, err)
			}
		}
	}
	return all
}
