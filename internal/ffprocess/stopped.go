package ffprocess

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// freezeTimeout limits the wait until all threads of a frozen process are stopped.
	freezeTimeout = 10 * time.Second
	// freezePollInterval is the interval of the checks of the thread states.
	freezePollInterval = time.Millisecond
)

// awaitStopped waits until every thread of the process is stopped, because SIGSTOP takes
// effect asynchronously.
func (p *Process) awaitStopped() error {
	ticker := time.NewTicker(freezePollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(freezeTimeout); time.Now().Before(deadline); <-ticker.C {
		stopped, err := p.stopped()
		if err != nil {
			return p.newError("freeze", KindSignal, err)
		}
		if stopped {
			return nil
		}
	}
	return p.newError("freeze", KindDeadline, merry.New("the process has threads that are not stopped"))
}

// stopped reports whether every thread of the process is in state T (stopped).
func (p *Process) stopped() (bool, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.ID()))
	if err != nil || len(threads) == 0 {
		return false, merry.Errorf("no threads: %w", err)
	}
	for _, thread := range threads {
		content, err := os.ReadFile(thread)
		if errors.Is(err, os.ErrNotExist) {
			return false, nil // the thread has exited since Glob
		}
		if err != nil {
			return false, err
		}
		// The state follows the command name, which is in parentheses.
		state := content[bytes.LastIndexByte(content, ')')+1:]
		if !bytes.HasPrefix(state, []byte(" T ")) {
			return false, nil
		}
	}
	return true, nil
}
