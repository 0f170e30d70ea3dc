package ffcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
)

// Audit prints the audit trails of all daemons, ordered by time.
type Audit struct {
	fleetArguments
}

// Run requests the audit trail of every daemon in the member list of the daemon at
// a.Address and prints the merged events as JSON lines. Daemons that fail to respond are
// reported on stderr and skipped.
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

// writeEvents writes one JSON line for each event.
func writeEvents(w io.Writer, events []ffaudit.Event) error {
	encoder := json.NewEncoder(w)
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			return err
		}
	}
	return nil
}
