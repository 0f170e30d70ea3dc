package fflimit

import (
	"math"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// message returns the request as a protobuf message.
func (r Request) message() *ffprotocol.LimitAsk {
	return &ffprotocol.LimitAsk{
		Customer: r.Customer,
		Cell:     r.Cell,
		Holder:   r.Holder,
		Seq:      r.Seq,
		Loan:     r.Loan,
		Tokens:   int32(min(r.Tokens, math.MaxInt32)),
		Permits:  int32(min(r.Permits, math.MaxInt32)),
		Holding:  int32(min(r.Holding, math.MaxInt32)),
		Demand:   float32(r.Demand),
	}
}

// parseRequest returns the request in a protobuf message. Invalid numbers count as zero.
func parseRequest(m *ffprotocol.LimitAsk) Request {
	req := Request{
		Customer: m.GetCustomer(),
		Cell:     m.GetCell(),
		Holder:   m.GetHolder(),
		Seq:      m.GetSeq(),
		Loan:     m.GetLoan(),
		Tokens:   max(int(m.GetTokens()), 0),
		Permits:  max(int(m.GetPermits()), 0),
		Holding:  max(int(m.GetHolding()), 0),
		Demand:   float64(m.GetDemand()),
	}
	if math.IsNaN(req.Demand) || math.IsInf(req.Demand, 0) || req.Demand < 0 {
		req.Demand = 0
	}
	return req
}

// message returns the response as a protobuf message.
func (r Response) message() *ffprotocol.LimitAnswer {
	return &ffprotocol.LimitAnswer{
		Seq:        r.Seq,
		Tokens:     int32(min(r.Tokens, math.MaxInt32)),
		Permits:    int32(min(r.Permits, math.MaxInt32)),
		WaitMillis: int32(r.Wait.Milliseconds()),
	}
}

// parseResponse returns the response in a protobuf message. It caps the grants at the
// request, since an allocator never grants more.
func parseResponse(req Request, m *ffprotocol.LimitAnswer) Response {
	return Response{
		Customer: req.Customer,
		Cell:     req.Cell,
		Seq:      m.GetSeq(),
		Tokens:   min(max(int(m.GetTokens()), 0), req.Tokens),
		Permits:  min(max(int(m.GetPermits()), 0), req.Permits),
		Wait:     time.Duration(m.GetWaitMillis()) * time.Millisecond,
	}
}
