package fflimit

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Contracts finds the contract in force of a customer.
type Contracts interface {
	Contract(customer string) (*ffconfig.Contract, bool)
}

// Handler serves the asks of other daemons. It implements the drpc service of
// the limits.
type Handler struct {
	// Limiter holds the allocations.
	Limiter *Limiter
	// Contracts returns the contracts in force now; nil while there are none.
	Contracts func() Contracts
	// Clock returns the time now.
	Clock func() time.Time
}

// Ask answers the asks of one daemon.
func (h *Handler) Ask(_ context.Context, req *ffprotocol.AskRequest) (*ffprotocol.AskResponse, error) {
	contracts := h.Contracts()
	now := h.Clock()
	resp := &ffprotocol.AskResponse{}
	for _, m := range req.GetAsks() {
		resp.Answers = append(resp.Answers, h.answer(contracts, askOf(m), now).message())
	}
	return resp, nil
}

func (h *Handler) answer(contracts Contracts, q Ask, now time.Time) Answer {
	if contracts == nil {
		return Answer{Seq: q.Seq, Wait: refusedWait}
	}
	c, ok := contracts.Contract(q.Customer)
	if !ok {
		return Answer{Seq: q.Seq, Wait: refusedWait}
	}
	return h.Limiter.Answer(c, q, now)
}

// Answer grants what one ask may have of the parts that this daemon allocates.
func (l *Limiter) Answer(c *ffconfig.Contract, q Ask, now time.Time) Answer {
	return l.allocator.answer(c, l.currentFleet(), q, now)
}
