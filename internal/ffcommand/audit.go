package ffcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
)

// Audit shows the audit trails of all daemons in order of time.
type Audit struct {
	fleet
}

// Run merges the trails of every daemon that the one at the address knows.
func (a *Audit) Run(ctx context.Context, stdout, stderr io.Writer) error {
	c, vms, err := a.members(ctx, "audit")
	if err != nil {
		return err
	}
	var events []ffaudit.Event
	for _, answer := range c.Audits(ctx, vms) {
		if answer.Err != nil {
			fmt.Fprintf(stderr, "%s: no answer: %v\n", answer.VM.Name, answer.Err)
			continue
		}
		events = append(events, answer.Value...)
	}
	slices.SortStableFunc(events, func(a, b ffaudit.Event) int { return a.At.Compare(b.At) })
	return writeEvents(stdout, events)
}

func writeEvents(w io.Writer, events []ffaudit.Event) error {
	e := json.NewEncoder(w)
	for _, event := range events {
		if err := e.Encode(event); err != nil {
			return err
		}
	}
	return nil
}
