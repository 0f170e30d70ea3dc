package ffcommand

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffnode"
	"fireflyfall.dev/fireflyfall/platform"
)

// settingsPoll is the interval of looks at the settings file.
const settingsPoll = time.Second

// watcher reads the settings again after a signal and when the file changes.
type watcher struct {
	path string
	log  zerolog.Logger
	// hangup delivers SIGHUP.
	hangup <-chan os.Signal
	out    chan<- ffnode.Settings
	last   []byte
}

// catchHangup delivers SIGHUP from now until the process ends. It is never given
// back to the runtime: a SIGHUP that nobody catches ends the process, also while
// it finishes its last requests.
func catchHangup() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last, err := os.ReadFile(w.path)
	if err != nil {
		w.log.Warn().Err(err).Msg("settings not read")
	}
	w.last = last
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hangup:
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
