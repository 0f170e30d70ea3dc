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
)

// settingsPollInterval is the interval at which the settings file is checked for changes.
const settingsPollInterval = time.Second

// watcher reloads the settings file when its content changes. It checks the file
// periodically and on SIGHUP.
type watcher struct {
	path string
	// read reads the settings.
	read func() (ffnode.Settings, error)
	log  zerolog.Logger
	// hangup receives SIGHUP.
	hangup <-chan os.Signal
	// reloads receives the changed settings.
	reloads chan<- ffnode.Settings
	// lastContent is the content of the file when it was last loaded; invalid content is
	// not recorded and therefore reported at every check.
	lastContent []byte
}

// notifyHangup returns a channel that receives SIGHUP until the process ends. The signal
// handler is never removed, because an unhandled SIGHUP would terminate the process, even
// while it is finishing its last requests.
func notifyHangup() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// run checks the file until ctx is done. The content at the start counts as loaded.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	content, err := os.ReadFile(w.path)
	if err != nil {
		w.log.Warn().Err(err).Msg("cannot read settings file")
	}
	w.lastContent = content
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hangup:
		case <-ticker.C:
		}
		w.reloadIfChanged(ctx)
	}
}

// reloadIfChanged sends the settings to w.reloads if the file has changed since it was last
// loaded. Invalid settings are logged and ignored.
func (w *watcher) reloadIfChanged(ctx context.Context) {
	content, err := os.ReadFile(w.path)
	if err != nil {
		w.log.Warn().Err(err).Msg("cannot read settings file")
		return
	}
	if bytes.Equal(content, w.lastContent) {
		return
	}
	s, err := w.read()
	if err != nil {
		w.log.Error().Err(err).Msg("invalid settings ignored")
		return
	}
	w.lastContent = content
	select {
	case w.reloads <- s:
	case <-ctx.Done():
	}
}
