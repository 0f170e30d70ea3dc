package ffcommand

import (
	"context"
	"io"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffhedge"
	"fireflyfall.dev/fireflyfall/internal/ffnode"
	"fireflyfall.dev/fireflyfall/platform"
)

const (
	// softMemoryFraction is the fraction of the memory limit in the settings that is set as
	// the soft memory limit of the Go runtime; the garbage collector runs more often to
	// stay below it.
	softMemoryFraction = 0.6
	// gcPercent is the heap growth, in percent, that triggers a garbage collection (GOGC).
	gcPercent = 50
)

// Mesh runs the daemon next to a target on the users' platform.
type Mesh struct {
	Settings string `arg:"--settings,env:FIREFLYFALL_SETTINGS,required" help:"path of the platform's settings file"`
	LogLevel string `arg:"--log-level,env:FIREFLYFALL_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	// HedgeLimit applies unless the settings file has one.
	HedgeLimit ffhedge.Limit `arg:"--hedge-limit,env:FIREFLYFALL_HEDGE_LIMIT" help:"greatest share of a service's work for copies of slow calls, 0 to 1"`
	Check      bool          `arg:"--check" help:"read the settings, print every fault and end"`
}

// Run serves until ctx is done, then shuts the daemon down gracefully, without interrupting
// requests in flight. It reloads the settings file when it changes. With --check it only
// validates the settings.
func (m *Mesh) Run(ctx context.Context, stdout, _ io.Writer) error {
	hangup := notifyHangup()
	level, err := zerolog.ParseLevel(m.LogLevel)
	if err != nil {
		return &Error{Op: "mesh", Kind: KindUsage, Err: err}
	}
	s, err := m.readSettings()
	if err != nil {
		return &Error{Op: "mesh", Kind: KindFailed, Err: err}
	}
	if m.Check {
		return nil
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(softMemoryFraction * float64(s.Memory)))
	out := newLogWriter(stdout)
	defer out.close()
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(out).Level(level).With().Timestamp().Str("vm", s.Name).Logger()
	reloads := make(chan ffnode.Settings, 1)
	go (&watcher{path: m.Settings, read: m.readSettings, log: log, hangup: hangup, reloads: reloads}).run(ctx)
	store := platform.NewStore(s.Store, log)
	if err := ffnode.Run(ctx, s, reloads, store, platform.Headers{}, log); err != nil {
		log.Error().Err(err).Msg("mesh daemon failed")
		return &Error{Op: "mesh", Kind: KindFailed, Err: err}
	}
	return nil
}

// readSettings reads the settings file and adds the settings of the command line.
func (m *Mesh) readSettings() (ffnode.Settings, error) {
	s, err := platform.ReadSettings(m.Settings)
	if _, ok := s.HedgeLimit.Share(); !ok {
		s.HedgeLimit = m.HedgeLimit
	}
	return s, err
}
