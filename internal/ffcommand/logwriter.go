package ffcommand

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// logBufferLines is the capacity of the log buffer, in lines.
	logBufferLines = 1000
	// logFlushInterval is the interval at which buffered lines are written.
	logFlushInterval = 100 * time.Millisecond
	// logCloseTimeout limits the time that close waits for the remaining lines.
	logCloseTimeout = 300 * time.Millisecond
)

// logWriter is a buffered writer that never blocks its callers. When the buffer is full,
// the oldest lines are dropped and a warning with their number is written.
type logWriter struct{ diode.Writer }

// newLogWriter returns a logWriter that writes to w in the background.
func newLogWriter(w io.Writer) logWriter {
	return logWriter{diode.NewWriter(w, logBufferLines, logFlushInterval, func(dropped int) {
		fmt.Fprintf(w, `{"level":"warn","lines":%d,"message":"log lines dropped"}`+"\n", dropped)
	})}
}

// close flushes the buffer but returns after logCloseTimeout even if lines remain.
func (l logWriter) close() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Close()
	}()
	select {
	case <-done:
	case <-time.After(logCloseTimeout):
	}
}
