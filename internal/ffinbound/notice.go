package ffinbound

import (
	"net/http"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// recordNotice records what t said of itself in its response to c, which was sent at
// sentAt.
func (g *Gate) recordNotice(c *ffmesh.Call, t fffleet.Target, sentAt time.Time, h http.Header) {
	n, err := g.Dialect.Notice(h)
	if n.Leaving {
		g.Target.MarkLeaving(t)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.target.ID != t.ID:
	case err != nil:
		g.logInvalidNotice(c.ID, err)
	default:
		g.updateLimit(t, n, sentAt)
		g.updateWarmup(n, sentAt)
	}
}

// updateLimit records the limit of t, or that it named none. The caller holds the lock.
func (g *Gate) updateLimit(t fffleet.Target, n ffmesh.Notice, sentAt time.Time) {
	old := g.pacer.Rate()
	now := time.Now()
	if n.Limited {
		g.pacer = g.pacer.WithLimit(n.Limit, now)
	} else {
		g.pacer = g.pacer.WithoutLimit(sentAt)
	}
	if rate := g.pacer.Rate(); rate != old {
		g.Log.Info().Str("target", t.ID).Float64("before", old).Float64("limit", rate).Msg("limit of the target changed")
		g.dispatch(now)
	}
}

// invalidNoticeInterval is the time between two log lines on invalid notices, which may
// come with every response.
const invalidNoticeInterval = time.Second

// logInvalidNotice logs that a part of what the target says of itself is ignored. The
// caller holds the lock.
func (g *Gate) logInvalidNotice(request string, err error) {
	now := time.Now()
	if now.Before(g.quietUntil) {
		return
	}
	g.quietUntil = now.Add(invalidNoticeInterval)
	g.Log.Warn().Err(err).Str("request", request).Str("target", g.target.ID).Msg("invalid notice of the target ignored")
}
