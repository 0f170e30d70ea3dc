package ffnode

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffdelegate"
	"fireflyfall.dev/fireflyfall/internal/ffgossip"
	"fireflyfall.dev/fireflyfall/internal/ffhop"
	"fireflyfall.dev/fireflyfall/internal/ffinbound"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffmeshpeer"
	"fireflyfall.dev/fireflyfall/internal/ffoutbound"
)

const (
	// targetDialTimeout is the connection timeout to the target on this VM.
	targetDialTimeout = 300 * time.Millisecond
	// maxIdleTargetConns is the maximum number of idle connections to the target.
	maxIdleTargetConns = 64
	// bodyMemoryDivisor sets the memory for buffered bodies: a quarter of the total.
	bodyMemoryDivisor = 4
)

func provideSettings(s Settings) *atomic.Pointer[Settings] {
	p := &atomic.Pointer[Settings]{}
	p.Store(&s)
	return p
}

func provideState(log zerolog.Logger) *ffgossip.State { return &ffgossip.State{Log: log} }

func provideLocal(s *atomic.Pointer[Settings], state *ffgossip.State) localTarget {
	return localTarget{settings: s, state: state}
}

func provideGate(s Settings, local localTarget, dialect ffmesh.Dialect, budget *ffoutbound.RetryBudget, log zerolog.Logger) *ffinbound.Gate {
	return &ffinbound.Gate{
		Target:  local,
		Dialect: dialect,
		Pool:    &ffhop.Pool{Address: s.Target.String(), Dialer: ffhop.NewDialer(targetDialTimeout), MaxIdle: maxIdleTargetConns},
		Intake:  &ffinbound.Intake{Rate: s.LinkRate},
		Log:     log,

		AllowsRetriedRun: budget.AllowsRetriedRun,
	}
}

func provideClient(s Settings, log zerolog.Logger) *ffmeshpeer.Client {
	return &ffmeshpeer.Client{Port: s.PeerAddress.Port(), Log: log}
}

func provideGates(s Settings, gate *ffinbound.Gate, client *ffmeshpeer.Client) gates {
	return gates{vm: s.PeerAddress.Addr(), local: gate, remote: client}
}

func providePicker(s Settings, board *ffoutbound.LoadTracker) *ffoutbound.Picker {
	return &ffoutbound.Picker{Location: ffoutbound.Location{VM: s.PeerAddress.Addr(), DataCentre: s.DataCentre}, Loads: board}
}

func provideBudget(s Settings) *ffoutbound.RetryBudget {
	b := ffoutbound.NewRetryBudget(s.FirstStart)
	b.Set(s.RetryBudget, 1, time.Now())
	return b
}

func provideMetrics(r *prometheus.Registry) (*ffoutbound.Metrics, error) {
	m, err := ffoutbound.NewMetrics(r)
	if err != nil {
		return nil, &Error{Op: "register metrics", Kind: KindMetrics, Err: err}
	}
	return m, nil
}

func provideHedges(s Settings) *ffoutbound.Hedges {
	h := &ffoutbound.Hedges{}
	h.SetLimit(s.HedgeLimit)
	return h
}

func provideMemory(s Settings) *ffmesh.Memory { return ffmesh.NewMemory(s.Memory / bodyMemoryDivisor) }

func provideHandler(
	s *atomic.Pointer[Settings], memory *ffmesh.Memory, state *ffgossip.State, gate *ffinbound.Gate, gates gates, dialect ffmesh.Dialect,
	picker *ffoutbound.Picker, budget *ffoutbound.RetryBudget, hedges *ffoutbound.Hedges, metrics *ffoutbound.Metrics, log zerolog.Logger,
) *ffoutbound.Handler {
	return &ffoutbound.Handler{
		Origin:  func() string { return s.Load().Service },
		Config:  state,
		Gates:   gates,
		Dialect: dialect,
		Picker:  picker,
		Budget:  budget,
		Hedges:  hedges,
		Memory:  memory,
		Metrics: metrics,
		Log:     log,

		RetryShare: gate.RetryShare,
	}
}

func provideReader(s Settings, store Store, state *ffgossip.State, log zerolog.Logger) *ffgossip.Reader {
	self := ffdelegate.Member{VM: s.PeerAddress.Addr(), DataCentre: s.DataCentre}
	return &ffgossip.Reader{Source: store, State: state, Self: self, Log: log}
}

func provideNode(
	s Settings, state *ffgossip.State, peers *ffgossip.Peers, reader *ffgossip.Reader,
	gate *ffinbound.Gate, board *ffoutbound.LoadTracker, client *ffmeshpeer.Client, log zerolog.Logger,
) *ffgossip.Node {
	return &ffgossip.Node{
		DataCentre: s.DataCentre, Incarnation: rand.Uint64(), Listen: s.HeartbeatAddress,
		State: state, Peers: peers, Reader: reader,
		Load: gate.Load,
		OnHeartbeat: func(vm netip.Addr, h ffgossip.Heartbeat) {
			now := time.Now()
			from := ffoutbound.Location{VM: vm, DataCentre: h.DataCentre}
			board.RecordHeartbeat(from, h.Load, h.Leaving, now, h.SilentAt(now))
		},
		Pool: client.Pool,
		Log:  log,
	}
}
