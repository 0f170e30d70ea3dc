package fflimit

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Contracts looks up the contract in force of a customer.
type Contracts interface {
	Contract(customer string) (*ffconfig.Contract, bool)
}

// Handler serves the requests of other daemons. It implements the DRPC service
// LimitService.
type Handler struct {
	// Limiter holds the allocations.
	Limiter *Limiter
	// Contracts returns the contracts in force now; nil while there are none.
	Contracts func() Contracts
	// Clock returns the current time.
	Clock func() time.Time
}

// Ask responds to the requests of one daemon.
func (h *Handler) Ask(_ context.Context, req *ffprotocol.AskRequest) (*ffprotocol.AskResponse, error) {
	contracts := h.Contracts()
	now := h.Clock()
	resp := &ffprotocol.AskResponse{}
	for _, m := range req.GetAsks() {
		resp.Answers = append(resp.Answers, h.grant(contracts, parseRequest(m), now).message())
	}
	return resp, nil
}

func (h *Handler) grant(contracts Contracts, req Request, now time.Time) Response {
	if contracts == nil {
		return Response{Seq: req.Seq, Wait: refusedWait}
	}
	c, ok := contracts.Contract(req.Customer)
	if !ok {
		return Response{Seq: req.Seq, Wait: refusedWait}
	}
	return h.Limiter.Grant(c, req, now)
}

// Grant returns the response to one request for a quota that this daemon allocates.
func (l *Limiter) Grant(c *ffconfig.Contract, req Request, now time.Time) Response {
	return l.allocator.grant(c, l.currentFleet(), req, now)
}
