package fftarget_test

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffrelay"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
	"fireflyfall.dev/fireflyfall/internal/fftarget"
)

// TestSilentConnectionsFailOneCall makes several idle connections stop responding.
// Only the first call may fail: its timeout must close the other idle connections.
func TestSilentConnectionsFailOneCall(t *testing.T) {
	const connections = 4
	target := ffstand.NewTarget(ffstand.TargetSettings{ServiceTime: 20 * time.Millisecond})
	server := httptest.NewServer(target.Handler())
	defer server.Close()
	relay, err := ffrelay.New("127.0.0.1:0", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	client := connect(t, fftarget.Settings{Address: relay.Address(), MaxConnections: connections})
	var calls sync.WaitGroup
	for i := range connections {
		calls.Go(func() {
			if _, err := client.Do(t.Context(), newCall(fmt.Sprint("before", i), "", "coins")); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	if err := relay.SetFault(ffrelay.Fault{Kind: ffrelay.FaultSilentOpen}); err != nil {
		t.Fatal(err)
	}
	call := newCall("silent", "", "coins")
	call.Deadline = time.Now().Add(100 * time.Millisecond)
	if _, err := client.Do(t.Context(), call); ffcall.KindOf(err) != ffcall.KindDeadline || ffcall.OutcomeOf(err) != ffcall.OutcomeUnknown {
		t.Fatal(err)
	}
	for i := range connections {
		call := newCall(fmt.Sprint("after", i), "", "coins")
		call.Deadline = time.Now().Add(5 * time.Second)
		if _, err := client.Do(t.Context(), call); err != nil {
			t.Fatal(err)
		}
	}
}
