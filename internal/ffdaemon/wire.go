//go:build wireinject

package ffdaemon

import (
	"github.com/google/wire"
	"github.com/rs/zerolog"
)

//go:generate wire

func assemble(s Settings, log zerolog.Logger) (*Daemon, error) {
	panic(wire.Build(providers, wire.Struct(new(Daemon), "*")))
}
