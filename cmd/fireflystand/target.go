package main

import (
	"context"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffstand"
)

// recordFileMode makes the record of executions writable only by its owner.
const recordFileMode = 0o644

// targetCommand holds the settings of the stand-in for a target.
type targetCommand struct {
	Name     string                   `arg:"--name,env:STAND_NAME" default:"target" help:"name of the target in answers and records"`
	Listen   string                   `arg:"--listen,env:STAND_LISTEN" default:"127.0.0.1:0" help:"address for the daemon beside the target"`
	Control  string                   `arg:"--control,env:STAND_CONTROL" default:"127.0.0.1:0" help:"address for tests, on loopback"`
	Slots    int                      `arg:"--slots,env:STAND_SLOTS" default:"10" help:"calls that run at once"`
	Backlog  int                      `arg:"--backlog,env:STAND_BACKLOG" default:"10" help:"calls that wait for a slot before others are shed"`
	Work     time.Duration            `arg:"--work,env:STAND_WORK" default:"5ms" help:"service time of a call"`
	WorkPath map[string]time.Duration `arg:"--work-path" help:"service times by prefix of the path, as /photos=2s"`
	ColdFor  time.Duration            `arg:"--cold-for,env:STAND_COLD_FOR" default:"0s" help:"length of the cold start"`
	ColdWork time.Duration            `arg:"--cold-work,env:STAND_COLD_WORK" default:"0s" help:"service time that the cold start adds"`
	Record   string                   `arg:"--record,env:STAND_RECORD" help:"file to which executions are appended as JSON lines"`
}

// serve runs the target until ctx is done, appending to the record file if one is set.
func (c *targetCommand) serve(ctx context.Context, log zerolog.Logger) error {
	if c.Slots < 1 || c.Backlog < 0 {
		return merry.Errorf("--slots is %d, at least 1 is allowed; --backlog is %d, at least 0 is allowed", c.Slots, c.Backlog)
	}
	settings := ffstand.TargetSettings{
		Name:              c.Name,
		Slots:             c.Slots,
		Backlog:           c.Backlog,
		ServiceTime:       c.Work,
		ServiceTimeByPath: c.WorkPath,
		ColdUntil:         time.Now().Add(c.ColdFor),
		ColdExtraTime:     c.ColdWork,
	}
	if c.Record != "" {
		record, err := os.OpenFile(c.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordFileMode)
		if err != nil {
			return merry.Prepend(err, "--record")
		}
		defer func() { _ = record.Close() }()
		settings.Log = record
	}
	target := ffstand.NewTarget(settings)
	return serve(ctx, log, endpoints{
		listen:         c.Listen,
		handler:        target.Handler(),
		control:        c.Control,
		controlHandler: target.ControlHandler(),
	})
}
