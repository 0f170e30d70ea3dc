package ffgossip

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffhop"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// readTableDialTimeout bounds the time to connect to the daemon that is asked.
const readTableDialTimeout = time.Second

// ReadTable returns the configuration that the daemon at a peer address has in force. The
// caller is no daemon, and takes no part in the exchange of heartbeats.
func ReadTable(ctx context.Context, address string) (*ffroute.Table, error) {
	pool := &ffhop.Pool{Address: address, Dialer: ffhop.NewDialer(readTableDialTimeout), MaxIdle: 1}
	defer pool.CloseIdle()
	c, err := fetch(ctx, pool, &Snapshot{}, fffleet.Fleet{}, func() {})
	if err != nil {
		return nil, &Error{Op: "read the configuration in force", Kind: KindPull, Err: err}
	}
	if c.Table == nil {
		return nil, &Error{Op: "read the configuration in force", Kind: KindPull, Err: merry.New("the daemon has none yet")}
	}
	return c.Table, nil
}
