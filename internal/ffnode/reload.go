package ffnode

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffgossip"
)

// Store is the platform's store at an address that may change.
type Store interface {
	ffgossip.Source
	// MoveTo makes all later calls go to another address.
	MoveTo(address string)
}

// runReloads applies changed settings until ctx is done.
func (n *Node) runReloads(ctx context.Context, reloads <-chan Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-reloads:
			n.reload(s)
		}
	}
}

// reload applies changed settings.
func (n *Node) reload(s Settings) {
	old := n.Settings.Swap(&s)
	n.Entry.Hedges.SetLimit(s.HedgeLimit)
	n.Budget.Set(s.RetryBudget, n.State.Fleet().Len(), time.Now())
	if s.Store != old.Store {
		n.Store.MoveTo(s.Store)
		n.Reader.StoreMoved()
	}
	if s.Target != old.Target {
		n.Gate.Pool.MoveTo(s.Target.String())
	}
	if fixed := s.fixedChanges(old); len(fixed) > 0 {
		n.Log.Warn().Strs("settings", fixed).Msg("changed settings take effect at the next start")
	}
	n.Log.Info().Str("service", s.Service).Stringer("target", s.Target).Str("store", s.Store).Msg("reload")
}
