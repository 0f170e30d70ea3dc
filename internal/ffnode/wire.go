//go:build wireinject

package ffnode

import (
	"github.com/google/wire"
	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffgossip"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffoutbound"
)

//go:generate wire

// assemble builds a daemon from its settings.
func assemble(s Settings, store Store, dialect ffmesh.Dialect, log zerolog.Logger) (*Node, error) {
	panic(wire.Build(
		provideSettings, provideState, provideLocal, provideGate, provideClient, provideGates, providePicker,
		provideBudget, provideHedges, provideMemory, provideRegistry, provideMetrics, provideHandler, provideReader, provideNode,
		wire.Struct(new(ffoutbound.LoadTracker)), wire.Struct(new(ffgossip.Peers)),
		wire.Struct(new(Node), "*"),
	))
}
