package ffcommand

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"fireflyfall.dev/fireflyfall/internal/ffnode"
	"fireflyfall.dev/fireflyfall/platform"
)

const (
	// logLines bounds the log lines that wait for standard output.
	logLines = 1000
	// logPoll is the interval at which waiting log lines are written.
	logPoll = 20 * time.Millisecond
	// settingsPoll is the interval of looks at the settings file.
	settingsPoll = time.Second
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
	out := diode.NewWriter(stdout, logLines, logPoll, func(int) {
		_, _ = io.WriteString(os.Stderr, `{"level":"warn","message":"log lines dropped"}`+"\n")
	})
	defer func() { _ = out.Close() }()
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(out).Level(level).With().Timestamp().Str("vm", s.Name).Logger()
	reloads := make(chan ffnode.Settings, 1)
	go (&watcher{path: m.Settings, log: log, out: reloads}).run(ctx)
	source := platform.NewStore(s.Store, log)
	if err := ffnode.Run(ctx, s, reloads, source, platform.Headers{}, log); err != nil {
		log.Error().Err(err).Msg("failed")
		return &Error{Op: "mesh", Kind: KindFailed, Err: err}
	}
	return nil
}

// watcher reads the settings again after a signal and when the file changes.
type watcher struct {
	path string
	log  zerolog.Logger
	out  chan<- ffnode.Settings
	last []byte
}

func (w *watcher) run(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	w.last, _ = os.ReadFile(w.path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
		}
		w.look(ctx)
	}
}

// look takes up the file when it differs from the last one.
func (w *watcher) look(ctx context.Context) {
	b, err := os.ReadFile(w.path)
	if err != nil {
		w.log.Warn().Err(err).Msg("settings not read")
		return
	}
	if bytes.Equal(b, w.last) {
		return
	}
	s, err := platform.ReadSettings(w.path)
	if err != nil {
		w.log.Error().Err(err).Msg("settings passed over")
		return
	}
	w.last = b
	select {
	case w.out <- s:
	case <-ctx.Done():
	}
}
