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
	// stopTimeout bounds the wait until a frozen process stands still.
	stopTimeout = 10 * time.Second
	// stopInterval is the time between two looks at it.
	stopInterval = time.Millisecond
)

// awaitStopped waits until every thread of the process stands still; a signal
// that was sent takes effect a little later.
func (p *Process) awaitStopped() error {
	ticker := time.NewTicker(stopInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(stopTimeout); time.Now().Before(deadline); <-ticker.C {
		stopped, err := p.stopped()
		if err != nil {
			return p.fail("freeze", KindSignal, err)
		}
		if stopped {
			return nil
		}
	}
	return p.fail("freeze", KindDeadline, merry.New("the process does not stand still"))
}

func (p *Process) stopped() (bool, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.ID()))
	if err != nil || len(threads) == 0 {
		return false, merry.Errorf("no threads: %w", err)
	}
	for _, thread := range threads {
		content, err := os.ReadFile(thread)
		if errors.Is(err, os.ErrNotExist) {
			return false, nil // the thread has ended meanwhile
		}
		if err != nil {
			return false, err
		}
		// The state follows the command, which is in parentheses.
		state := content[bytes.LastIndexByte(content, ')')+1:]
		if !bytes.HasPrefix(state, []byte(" T ")) {
			return false, nil
		}
	}
	return true, nil
}
