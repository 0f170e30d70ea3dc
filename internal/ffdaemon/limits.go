package ffdaemon

import (
	"context"
	"fmt"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffdistribution"
	"fireflyfall.dev/fireflyfall/internal/fflimit"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffpeer"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// limitPeers is a client of the limit service of other daemons.
type limitPeers struct {
	pool *ffpeer.Pool
}

// RequestLimits sends a limit request to the allocator on vm.
func (p limitPeers) RequestLimits(ctx context.Context, vm ffmember.VM, req *ffprotocol.AskRequest) (*ffprotocol.AskResponse, error) {
	conn, err := p.pool.Conn(ctx, vm.PeerAddress)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return ffprotocol.NewDRPCLimitServiceClient(conn).Ask(ctx, req)
}

func provideLimiter(s Settings, incarnation ffmember.Incarnation) *fflimit.Limiter {
	return &fflimit.Limiter{Holder: fmt.Sprintf("%s/%d", s.Name, incarnation)}
}

func provideExchange(limiter *fflimit.Limiter, pool *ffpeer.Pool) *fflimit.Exchange {
	return &fflimit.Exchange{Limiter: limiter, Peers: limitPeers{pool: pool}, Clock: time.Now}
}

func provideLimitHandler(limiter *fflimit.Limiter, store *ffdistribution.Store) *fflimit.Handler {
	return &fflimit.Handler{
		Limiter: limiter,
		Clock:   time.Now,
		Contracts: func() fflimit.Contracts {
			if s := store.Snapshot(); s != nil {
				return s
			}
			return nil
		},
	}
}
