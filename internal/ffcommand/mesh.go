package ffcommand

import (
	"context"
	"io"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffnode"
	"fireflyfall.dev/fireflyfall/platform"
)

const (
	// memoryPart is the part of the memory beyond which the collector works harder.
	memoryPart = 0.6
	// collectAt is the growth of the heap, in percent, that starts a collection.
	collectAt = 50
)

// Mesh runs the daemon beside a target on the users' platform.
type Mesh struct {
	Settings string `arg:"--settings,env:FIREFLYFALL_SETTINGS,required" help:"path of the platform's settings file"`
	LogLevel string `arg:"--log-level,env:FIREFLYFALL_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	Check    bool   `arg:"--check" help:"read the settings, print every fault and end"`
}

// Run serves until ctx ends, then leaves without cutting a request.
func (m *Mesh) Run(ctx context.Context, stdout, _ io.Writer) error {
	hangup := catchHangup()
	level, err := zerolog.ParseLevel(m.LogLevel)
	if err != nil {
		return &Error{Op: "mesh", Kind: KindUsage, Err: err}
	}
	s, err := platform.ReadSettings(m.Settings)
	if err != nil {
		return &Error{Op: "mesh", Kind: KindFailed, Err: err}
	}
	if m.Check {
		return nil
	}
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(memoryPart * float64(s.Memory)))
	out := newLogWriter(stdout)
	defer out.close()
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(out).Level(level).With().Timestamp().Str("vm", s.Name).Logger()
	reloads := make(chan ffnode.Settings, 1)
	go (&watcher{path: m.Settings, log: log, hangup: hangup, out: reloads}).run(ctx)
	source := platform.NewStore(s.Store, log)
	if err := ffnode.Run(ctx, s, reloads, source, platform.Headers{}, log); err != nil {
		log.Error().Err(err).Msg("failed")
		return &Error{Op: "mesh", Kind: KindFailed, Err: err}
	}
	return nil
}
