package ffproof_test

import (
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"fireflyfall.dev/fireflyfall/internal/ffprocess"
)

// stageKey is where a script keeps its stage.
type stageKey struct{}

// command is one command of the scripts.
type command func(s *stage, args []string) error

// commands are the commands of the scripts; each says what it takes.
var commands = map[string]command{
	// deploy VM:DATACENTRE:SERVICE...
	"deploy": (*stage).deploy,
	// lag DURATION: the platform hides later changes of its list for that long.
	"lag": (*stage).lag,
	// publish DECLARATIONS NUMBER: publishes without waiting.
	"publish": (*stage).publish,
	// await VM...: waits until the VMs, or all, have the latest version in force.
	"await": (*stage).await,
	// mint TOKEN at=VM customer=NAME route=NAME [gate=VM]
	"mint": (*stage).mint,
	// start CALL at=VM customer=NAME route=NAME [like=CALL] [token=TOKEN]
	// [work=MILLIS] [timeout=MILLIS] [crash=KIND] [bytes=NUMBER] [connections=kept]:
	// sends without waiting.
	"start": (*stage).start,
	// running CALL: waits until a target runs the call.
	"running": (*stage).running,
	// recorded CALL: waits until a target has ended the call.
	"recorded": (*stage).recorded,
	// finish CALL OUTCOME...: waits for the answer and compares its outcome.
	"finish": (*stage).finish,
	// reason CALL REASON: compares the reason of a refusal.
	"reason": (*stage).reason,
	// runs CALL NUMBER...: compares how often the call ran.
	"runs": (*stage).runs,
	// same CALL CALL: wants the same answer of two calls.
	"same": (*stage).same,
	// freeze, wake, sigkill, restart daemon|target VM...
	"freeze":  (*stage).freeze,
	"wake":    (*stage).wake,
	"sigkill": (*stage).kill,
	"restart": (*stage).restart,
	// sigterm VM: asks a daemon to leave; stopped VM: waits until it has, without an error.
	"sigterm": (*stage).stop,
	"stopped": (*stage).stopped,
	// forward, peers FROM TO KIND [DIRECTION]: faults between data centres.
	"forward": (*stage).forward,
	"peers":   (*stage).peers,
	// platform DATACENTRE KIND and targetlink VM KIND [DIRECTION]
	"platform":   (*stage).platform,
	"targetlink": (*stage).targetLink,
	// leaving VM...: waits until each of the VMs sees one that is leaving.
	"leaving": (*stage).leaving,
	// load NAME at=VM,VM customer=NAME route=NAME: calls in a loop; unload NAME: ends it.
	"load":   (*stage).load,
	"unload": (*stage).unload,
	// careless at=VM customer=NAME KIND: misbehaves until the end of the script.
	"careless": (*stage).careless,
	// none VM since=MARK: wants no call at the VM that was sent after the mark.
	"mark": (*stage).mark,
	"none": (*stage).none,
	// judge: compares everything that callers were told with the records.
	"judge": (*stage).judge,
}

// TestProofs runs every script.
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
			s := newStage(e.WorkDir, declarations, binaries)
			e.Values[stageKey{}] = s
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
			s := ts.Value(stageKey{}).(*stage)
			if err := c(s, args); err != nil {
				ts.Fatalf("%s %q: %v", name, args, err)
			}
		}
	}
	return all
}
