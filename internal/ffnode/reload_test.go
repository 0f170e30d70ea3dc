package ffnode_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffgossip"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffnode"
)

// fakeStore is an empty store that records where it moved to.
type fakeStore struct {
	mu      sync.Mutex
	address string
}

func (s *fakeStore) MoveTo(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
}

func (*fakeStore) Targets(context.Context) ([]fffleet.Target, error) { return nil, nil }

func (*fakeStore) Read(context.Context, func()) (*ffgossip.StoreContent, error) {
	return &ffgossip.StoreContent{}, nil
}

func (*fakeStore) Changes(context.Context, ffgossip.Revision, time.Duration, func()) (*ffgossip.Changes, bool, error) {
	return &ffgossip.Changes{}, false, nil
}

// logLines collects the lines of a log.
type logLines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// freeAddress returns an address on loopback that is free.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestReload guards against a changed setting that is neither followed nor named in the log.
func TestReload(t *testing.T) {
	s := ffnode.Settings{
		Name: "vm", DataCentre: "z", Store: "old:1", StopGrace: time.Second, CallerAddress: freeAddress(t),
		PeerAddress: freeAddress(t), HeartbeatAddress: freeAddress(t), ReadyAddress: freeAddress(t), MetricsAddress: freeAddress(t),
	}
	ctx, stop := context.WithCancel(t.Context())
	reloads, done := make(chan ffnode.Settings), make(chan error, 1)
	store, log := &fakeStore{}, &logLines{}
	go func() { done <- ffnode.Run(ctx, s, reloads, store, ffmesh.Dialect(nil), zerolog.New(log)) }()
	changed := s
	changed.Store, changed.DataCentre, changed.Memory = "new:1", "y", 1<<20
	reloads <- changed
	// A second reload is taken only after the first was applied.
	reloads <- changed
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.address != "new:1" {
		t.Errorf("the store is looked for at %q", store.address)
	}
	if want := `"settings":["dataCentre","memory"]`; !strings.Contains(log.String(), want) {
		t.Errorf("no %s in the log:\n%s", want, log)
	}
}
