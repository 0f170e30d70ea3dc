package fflimit

import (
	"math"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// message returns the ask as it is sent.
func (q Ask) message() *ffprotocol.LimitAsk {
	return &ffprotocol.LimitAsk{
		Customer: q.Customer,
		Cell:     q.Cell,
		Holder:   q.Holder,
		Seq:      q.Seq,
		Loan:     q.Loan,
		Tokens:   int32(min(q.Tokens, math.MaxInt32)),
		Permits:  int32(min(q.Permits, math.MaxInt32)),
		Holding:  int32(min(q.Holding, math.MaxInt32)),
		Demand:   float32(q.Demand),
	}
}

// askOf returns the ask that a message carries. What makes no sense asks for nothing.
func askOf(m *ffprotocol.LimitAsk) Ask {
	q := Ask{
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
	if math.IsNaN(q.Demand) || math.IsInf(q.Demand, 0) || q.Demand < 0 {
		q.Demand = 0
	}
	return q
}

// message returns the answer as it is sent.
func (r Answer) message() *ffprotocol.LimitAnswer {
	return &ffprotocol.LimitAnswer{
		Seq:        r.Seq,
		Tokens:     int32(min(r.Tokens, math.MaxInt32)),
		Permits:    int32(min(r.Permits, math.MaxInt32)),
		WaitMillis: int32(r.Wait.Milliseconds()),
	}
}

// answerOf returns the answer that a message carries to an ask; an allocator
// never grants more than was asked for.
func answerOf(q Ask, m *ffprotocol.LimitAnswer) Answer {
	return Answer{
		Customer: q.Customer,
		Cell:     q.Cell,
		Seq:      m.GetSeq(),
		Tokens:   min(max(int(m.GetTokens()), 0), q.Tokens),
		Permits:  min(max(int(m.GetPermits()), 0), q.Permits),
		Wait:     time.Duration(m.GetWaitMillis()) * time.Millisecond,
	}
}
