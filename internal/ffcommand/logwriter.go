package ffcommand

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// logLines bounds the log lines that wait to be written.
	logLines = 1000
	// logPoll is the interval at which waiting log lines are written.
	logPoll = 100 * time.Millisecond
	// logClose bounds the wait for the last log lines.
	logClose = 300 * time.Millisecond
)

// logWriter passes log lines on without ever blocking its callers. When too many
// wait, the oldest are dropped and a line tells how many.
type logWriter struct{ diode.Writer }

func newLogWriter(w io.Writer) logWriter {
	return logWriter{diode.NewWriter(w, logLines, logPoll, func(missed int) {
		fmt.Fprintf(w, `{"level":"warn","lines":%d,"message":"log lines dropped"}`+"\n", missed)
	})}
}

// close writes the lines that wait, as far as that is quick.
func (l logWriter) close() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Close()
	}()
	select {
	case <-done:
	case <-time.After(logClose):
	}
}
