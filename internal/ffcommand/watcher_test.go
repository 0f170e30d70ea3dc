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

const settings = `nodeName=a
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

// TestWatcher takes up changed settings after SIGHUP and without it, passes over
// bad ones, and leaves a process alive that gets SIGHUP while it stops.
func TestWatcher(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(settings)
	out := make(chan ffnode.Settings, 1)
	w := &watcher{path: path, log: zerolog.Nop(), hangup: catchHangup(), out: out}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.run(ctx)
	}()
	want := func(service string) {
		t.Helper()
		select {
		case s := <-out:
			if s.Service != service {
				t.Errorf("service %q, want %q", s.Service, service)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("the settings were not read again")
		}
	}
	<-time.After(50 * time.Millisecond)
	write(strings.Replace(settings, "service=one", "service=two", 1))
	hangUp(t)
	want("two")
	write("service=broken")
	hangUp(t)
	write(strings.Replace(settings, "service=one", "service=three", 1))
	want("three")
	cancel()
	<-ended
	hangUp(t)
	<-time.After(50 * time.Millisecond)
}

func hangUp(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}
