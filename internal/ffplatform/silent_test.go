package ffplatform_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffplatform"
	"fireflyfall.dev/fireflyfall/internal/ffrelay"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
)

// TestUnresponsiveConnectionsFailOneRead makes several idle connections
// unresponsive and expects only the first read to fail, since the failure closes
// all idle connections.
func TestUnresponsiveConnectionsFailOneRead(t *testing.T) {
	const connections = 4
	platform := ffstand.NewPlatform(ffstand.PlatformSettings{})
	if err := platform.Publish(map[string][]byte{"manifest": []byte("one")}); err != nil {
		t.Fatal(err)
	}
	relay, err := ffrelay.New("127.0.0.1:0", serve(t, platform.Handler()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	client := connect(t, &countingLimiter{}, relay.Address())
	var watches sync.WaitGroup
	for range connections {
		watches.Go(func() { _, _ = client.Watch(t.Context(), "manifest", 1, time.Now().Add(50*time.Millisecond)) })
	}
	watches.Wait()
	if err := relay.SetFault(ffrelay.Fault{Kind: ffrelay.FaultSilentOpen}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := client.Read(ctx, "manifest"); ffplatform.KindOf(err) != ffplatform.KindUnavailable {
		t.Fatal(err)
	}
	for range connections {
		if _, err := client.Read(t.Context(), "manifest"); err != nil {
			t.Fatal(err)
		}
	}
}
