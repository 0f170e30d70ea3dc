package ffcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/internal/ffoperator"
)

// Audit shows the audit trails of all daemons in order of time.
type Audit struct {
	Address string `arg:"positional,required" placeholder:"ADDRESS" help:"operators' address of any daemon, as IP:PORT"`
	Key     string `arg:"--operator-key,env:FIREFLYFALL_OPERATOR_KEY" placeholder:"KEY" help:"the operator key, if the daemons ask for one"`
}

// Run merges the trails of every daemon that the one at the address knows.
func (a *Audit) Run(ctx context.Context, stdout, stderr io.Writer) error {
	c := &ffoperator.Client{Key: a.Key}
	vms, err := c.Members(ctx, a.Address)
	if err != nil {
		return &Error{Op: "audit", Kind: KindFailed, Err: merry.Prepend(err, "members")}
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
