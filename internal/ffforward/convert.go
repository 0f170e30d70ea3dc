package ffforward

import (
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

func headersOf(h http.Header) []*ffprotocol.Header {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	headers := make([]*ffprotocol.Header, 0, n)
	for name, values := range h {
		for _, v := range values {
			headers = append(headers, &ffprotocol.Header{Name: name, Value: v})
		}
	}
	return headers
}

func httpHeader(headers []*ffprotocol.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, x := range headers {
		h[x.Name] = append(h[x.Name], x.Value)
	}
	return h
}

func requestOf(c *ffcall.Call, from string, cn *conn, now time.Time) *ffprotocol.ForwardRequest {
	r := &ffprotocol.ForwardRequest{
		CallId:          c.ID,
		Customer:        c.Customer,
		Route:           c.Route.Name,
		Token:           c.Token,
		RemainingMicros: c.Deadline.Sub(now).Microseconds(),
		Method:          c.Method,
		Path:            c.Path,
		Headers:         headersOf(c.Header),
		Body:            c.Body,
		VersionNumber:   c.Version.Number,
		VersionDigest:   string(c.Version.Digest),
		Incarnation:     cn.incarnation,
		From:            from,
		Idempotent:      c.Route.Idempotent,
		Resource:        c.Route.Resource,
		DeadlineMicros:  cn.clock.at(c.Deadline),
	}
	r.Checksum = requestChecksum(r)
	return r
}

func loadOf(l ffcall.Load) *ffprotocol.Load {
	return &ffprotocol.Load{
		Vm:            l.VM,
		Incarnation:   l.Incarnation,
		FreeSlots:     int32(l.FreeSlots),
		QueuedShort:   int32(l.QueuedShort),
		QueuedLong:    int32(l.QueuedLong),
		VersionNumber: l.Version.Number,
		VersionDigest: string(l.Version.Digest),
	}
}

func callLoad(l *ffprotocol.Load) ffcall.Load {
	return ffcall.Load{
		VM:          l.GetVm(),
		Incarnation: l.GetIncarnation(),
		FreeSlots:   int(l.GetFreeSlots()),
		QueuedShort: int(l.GetQueuedShort()),
		QueuedLong:  int(l.GetQueuedLong()),
		Version: ffconfig.Version{
			Number: l.GetVersionNumber(),
			Digest: ffconfig.Digest(l.GetVersionDigest()),
		},
	}
}

func responseOf(callID string, r *ffcall.Reply) *ffprotocol.ForwardResponse {
	resp := &ffprotocol.ForwardResponse{
		CallId:    callID,
		Status:    int32(r.Status),
		Headers:   headersOf(r.Header),
		Body:      r.Body,
		Outcome:   int32(ffcall.OutcomeRan),
		NextToken: r.NextToken,
		Load:      loadOf(r.Load),
	}
	resp.Checksum = responseChecksum(resp)
	return resp
}

func refusalOf(callID string, err *ffcall.Error, load ffcall.Load, now time.Time) *ffprotocol.ForwardResponse {
	r := &ffprotocol.ForwardResponse{
		CallId:  callID,
		Outcome: int32(err.Outcome),
		Refusal: int32(err.Kind),
		Reason:  err.Error(),
		Load:    loadOf(load),
	}
	if !err.RetryAt.IsZero() {
		r.RetryAfterMicros = max(err.RetryAt.Sub(now).Microseconds(), 1)
	}
	r.Checksum = responseChecksum(r)
	return r
}

// replyOf returns the reply or the error in r. A response to another call or with a
// wrong checksum results in an error with OutcomeUnknown.
func replyOf(callID string, r *ffprotocol.ForwardResponse, now time.Time) (*ffcall.Reply, error) {
	if r.GetCallId() != callID {
		return nil, &ffcall.Error{Op: "forward", Kind: ffcall.KindMismatched, Err: merry.Errorf("the response is for call %q", r.GetCallId())}
	}
	if responseChecksum(r) != r.GetChecksum() {
		return nil, &ffcall.Error{Op: "forward", Kind: ffcall.KindTruncated, Err: merry.New("the response does not match its checksum")}
	}
	if r.GetRefusal() != 0 || r.GetStatus() == 0 {
		return nil, errorOf(r, now)
	}
	return &ffcall.Reply{
		Status:    int(r.GetStatus()),
		Header:    httpHeader(r.GetHeaders()),
		Body:      r.GetBody(),
		NextToken: r.GetNextToken(),
		Load:      callLoad(r.GetLoad()),
	}, nil
}

func errorOf(r *ffprotocol.ForwardResponse, now time.Time) *ffcall.Error {
	e := &ffcall.Error{
		Op:      "gate",
		Kind:    ffcall.Kind(r.GetRefusal()),
		Outcome: ffcall.Outcome(r.GetOutcome()),
		Load:    callLoad(r.GetLoad()),
		Err:     merry.New(r.GetReason()),
	}
	if r.GetRetryAfterMicros() > 0 {
		e.RetryAt = now.Add(time.Duration(r.GetRetryAfterMicros()) * time.Microsecond)
	}
	return e
}
