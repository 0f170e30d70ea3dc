package ffdaemon

import (
	"cmp"
	crand "crypto/rand"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/google/wire"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/internal/ffbalance"
	"fireflyfall.dev/fireflyfall/internal/ffcaller"
	"fireflyfall.dev/fireflyfall/internal/ffdistribution"
	"fireflyfall.dev/fireflyfall/internal/ffentry"
	"fireflyfall.dev/fireflyfall/internal/ffforward"
	"fireflyfall.dev/fireflyfall/internal/ffgate"
	"fireflyfall.dev/fireflyfall/internal/fflimit"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffoperator"
	"fireflyfall.dev/fireflyfall/internal/ffpeer"
	"fireflyfall.dev/fireflyfall/internal/ffplatform"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/internal/ffretry"
	"fireflyfall.dev/fireflyfall/internal/fftarget"
	"fireflyfall.dev/fireflyfall/internal/fftoken"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// maxForwardConnections is the maximum number of connections for calls from other daemons.
const maxForwardConnections = 4096

// providers is the set of wire providers of a daemon.
var providers = wire.NewSet(
	provideSelf,
	provideIncarnation,
	provideDialer,
	provideSwitches,
	provideTrail,
	provideRegistry,
	provideState,
	wire.Bind(new(prometheus.Registerer), new(*prometheus.Registry)),
	wire.Bind(new(prometheus.Gatherer), new(*prometheus.Registry)),
	provideDistribution,
	provideCallPath,
	provideOperator,
)

// provideDistribution is the set of providers for distributing configuration versions.
var provideDistribution = wire.NewSet(
	provideStore,
	provideMembers,
	provideBudget,
	providePlatform,
	provideMeter,
	providePool,
	wire.Struct(new(ffpeer.Client), "*"),
	provideNode,
	providePeerServer,
)

// provideCallPath is the set of providers for handling calls.
var provideCallPath = wire.NewSet(
	provideTarget,
	provideGate,
	provideLimiter,
	provideExchange,
	provideLimitHandler,
	provideChooser,
	provideRetry,
	provideRemote,
	provideForwardHandler,
	provideForwardServer,
	provideEntry,
	ffcaller.NewMetrics,
	ffcaller.NewHandler,
)

func provideSelf(s Settings) ffmember.VM {
	return ffmember.VM{
		Name:            s.Name,
		DataCentre:      s.DataCentre,
		Service:         s.Service,
		PeerAddress:     cmp.Or(s.PeerAdvertised, s.PeerAddress),
		ForwardAddress:  cmp.Or(s.ForwardAdvertised, s.ForwardAddress),
		OperatorAddress: s.OperatorAddress,
	}
}

func provideIncarnation() ffmember.Incarnation {
	return ffmember.NewIncarnation(time.Now(), rand.Uint64())
}

func provideTrail(s Settings, log zerolog.Logger) *ffaudit.Trail {
	return &ffaudit.Trail{Daemon: s.Name, Log: log}
}

func provideRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

func provideStore(trail *ffaudit.Trail, registry *prometheus.Registry) *ffdistribution.Store {
	store := &ffdistribution.Store{Audit: trail, OnApply: (&contractAudit{trail: trail}).record}
	registry.MustRegister(store)
	return store
}

func provideMembers(trail *ffaudit.Trail) *ffdistribution.Members {
	return &ffdistribution.Members{Audit: trail}
}

func provideBudget(s Settings) *ffdistribution.Budget {
	return &ffdistribution.Budget{Name: s.Name, Ceiling: s.PlatformRate, FleetSize: s.MaxFleet}
}

func providePlatform(s Settings, budget *ffdistribution.Budget, d *net.Dialer) *ffplatform.Client {
	return ffplatform.NewClient(s.Platform, budget, d.DialContext)
}

func provideMeter(registry *prometheus.Registry) *ffpeer.Meter {
	meter := &ffpeer.Meter{}
	registry.MustRegister(meter)
	return meter
}

func providePool(meter *ffpeer.Meter, d *net.Dialer) *ffpeer.Pool {
	return &ffpeer.Pool{Meter: meter, DialContext: d.DialContext}
}

func provideRemote(s Settings, d *net.Dialer, node *ffdistribution.Node) *ffforward.Client {
	return &ffforward.Client{Dialer: d, Self: s.Name, Versions: node}
}

func provideNode(
	s Settings, log zerolog.Logger, self ffmember.VM, incarnation ffmember.Incarnation, trail *ffaudit.Trail,
	store *ffdistribution.Store, members *ffdistribution.Members, budget *ffdistribution.Budget,
	peers *ffpeer.Client, platform *ffplatform.Client, limiter *fflimit.Limiter, registry *prometheus.Registry,
) *ffdistribution.Node {
	node := &ffdistribution.Node{
		Self: self, Incarnation: incarnation, Seeds: s.Peers, Store: store, Members: members,
		Budget: budget, Peers: peers, Platform: platform, Audit: trail, Log: log,
		OnPause: limiter.ExpireGrants,
	}
	registry.MustRegister(node)
	return node
}

func provideTarget(s Settings) *fftarget.Client {
	return fftarget.NewClient(fftarget.Settings{Address: s.Target})
}

func provideGate(s Settings, off switches, incarnation ffmember.Incarnation, target *fftarget.Client, store *ffdistribution.Store, registry *prometheus.Registry) (*ffgate.Gate, error) {
	issuer, err := fftoken.NewIssuer(s.Name, uint64(incarnation), time.Now(), crand.Reader)
	if err != nil {
		return nil, err
	}
	gate := &ffgate.Gate{
		VM: s.Name, Incarnation: uint64(incarnation), Service: s.Service,
		Target: target, Snapshots: currentSnapshot{store: store}, Issuer: issuer, Off: off.gate,
	}
	registry.MustRegister(gate)
	return gate, nil
}

// currentSnapshot provides the gate with the configuration snapshot in force.
type currentSnapshot struct{ store *ffdistribution.Store }

// Current returns the snapshot in force, or nil if there is none.
func (c currentSnapshot) Current() *ffconfig.Snapshot { return c.store.Snapshot() }

func provideChooser(s Settings, off switches) *ffbalance.Chooser {
	return &ffbalance.Chooser{Self: s.Name, DataCentre: s.DataCentre, Rand: rand.Uint64, Off: off.balance}
}

func provideRetry() *ffretry.Policy { return &ffretry.Policy{Rand: rand.Float64} }

func provideForwardHandler(s Settings, incarnation ffmember.Incarnation, gate *ffgate.Gate, store *ffdistribution.Store, node *ffdistribution.Node) *ffforward.Server {
	return &ffforward.Server{
		VM: s.Name, Incarnation: uint64(incarnation), Gate: gate, Snapshots: store, Readiness: node, Versions: node,
	}
}

func providePeerServer(meter *ffpeer.Meter, node *ffdistribution.Node, limits *fflimit.Handler, log zerolog.Logger) (peerServer, error) {
	s := peerServer{&ffpeer.Server{Meter: meter, Log: log}}
	return s, errors.Join(
		ffprotocol.DRPCRegisterConfigurationService(s, node),
		ffprotocol.DRPCRegisterLimitService(s, limits),
	)
}

func provideForwardServer(handler *ffforward.Server, log zerolog.Logger) (forwardServer, error) {
	s := forwardServer{&ffpeer.Server{
		MaxConnections:  maxForwardConnections,
		MaxMessageBytes: ffforward.MaxMessageBytes,
		Log:             log,
	}}
	return s, ffprotocol.DRPCRegisterCallService(s, handler)
}

func provideEntry(
	s Settings, off switches, store *ffdistribution.Store, node *ffdistribution.Node, members *ffdistribution.Members, limiter *fflimit.Limiter,
	chooser *ffbalance.Chooser, retry *ffretry.Policy, gate *ffgate.Gate, remote *ffforward.Client,
) *ffentry.Entry {
	return &ffentry.Entry{
		Self: s.Name, Snapshots: store, Readiness: node, Members: members, Limiter: limiter,
		Chooser: chooser, Retry: retry, Gate: gate, Remote: remote, NoHedging: off.noHedging,
	}
}

func provideOperator(s Settings, d *state, trail *ffaudit.Trail, registry *prometheus.Registry) *ffoperator.Handler {
	return &ffoperator.Handler{Daemon: d, Trail: trail, Metrics: registry, Key: s.OperatorKey}
}
