package ffoutbound

import (
	"context"
	"sync"
)

// ending ends all requests in progress, so that each is answered before the process
// ends. The zero value is ready to use.
type ending struct {
	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
}

// context returns a context that ends when the requests must.
func (e *ending) context() context.Context {
	e.once.Do(func() { e.ctx, e.cancel = context.WithCancel(context.Background()) })
	return e.ctx
}

func (e *ending) end() {
	e.context()
	e.cancel()
}
