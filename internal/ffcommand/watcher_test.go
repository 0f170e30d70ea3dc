package ffcommand

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffnode"
)

const testSettings = `nodeName=a
zone=z
service=one
appAddr=127.0.0.1:1
listenAddrs.outbound=127.0.0.1:2
listenAddrs.inbound=127.0.0.1:3
listenAddrs.readyAddr=127.0.0.1:4
platform.address=127.0.0.1:5
portRange=6,7
bounds.retryBudgetRatio=0.2
bounds.budgetSlack=1
bounds.budgetWindowS=10
bounds.graceS=6
limits.memoryMb=10
limits.linkMbps=100
`

// TestWatcher checks that changed settings are reloaded on SIGHUP and by polling, that
// invalid settings are ignored, and that a SIGHUP after the watcher has stopped does not
// terminate the process.
func TestWatcher(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(testSettings)
	reloads := make(chan ffnode.Settings, 1)
	w := &watcher{path: path, read: (&Mesh{Settings: path}).readSettings, log: zerolog.Nop(), hangup: notifyHangup(), reloads: reloads}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.run(ctx)
	}()
	expectReload := func(service string) {
		t.Helper()
		select {
		case s := <-reloads:
			if s.Service != service {
				t.Errorf("service %q, want %q", s.Service, service)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("the settings were not reloaded")
		}
	}
	<-time.After(50 * time.Millisecond)
	write(strings.Replace(testSettings, "service=one", "service=two", 1))
	sendHangup(t)
	expectReload("two")
	write("service=broken")
	sendHangup(t)
	write(strings.Replace(testSettings, "service=one", "service=three", 1))
	expectReload("three")
	cancel()
	<-done
	sendHangup(t)
	<-time.After(50 * time.Millisecond)
}

// sendHangup sends SIGHUP to the test process.
func sendHangup(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}
