package ffforward_test

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffforward"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// encode returns the protobuf encoding of m.
func encode(t testing.TB, m proto.Message) []byte {
	t.Helper()
	content, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

const bitsPerByte = 8

// damaged returns every copy of content with one bit flipped, and every proper prefix.
func damaged(content []byte) [][]byte {
	var all [][]byte
	for at := range content {
		all = append(all, content[:at])
		for bit := range bitsPerByte {
			changed := bytes.Clone(content)
			changed[at] ^= 1 << bit
			all = append(all, changed)
		}
	}
	return all
}

func newRequest() *ffprotocol.ForwardRequest {
	call := newCall("call")
	call.Token = "token"
	return ffforward.RequestOf(call, "entry", 1)
}

// TestDamagedRequestDoesNotRun: a corrupted or truncated request does not reach the
// gate and is not reported as not run.
func TestDamagedRequestDoesNotRun(t *testing.T) {
	whole := newRequest()
	g := newGate()
	s := newServer(t, g, 1)
	for _, content := range damaged(encode(t, whole)) {
		r := &ffprotocol.ForwardRequest{}
		if proto.Unmarshal(content, r) != nil || equalKnownFields(r, whole) {
			continue
		}
		answer, err := s.Forward(t.Context(), r)
		if err != nil || len(g.ran) > 0 {
			t.Fatalf("request %v ran as %v, error %v", r, g.ran, err)
		}
		if ffcall.Outcome(answer.GetOutcome()) == ffcall.OutcomeNotRun {
			t.Fatalf("a damaged request was refused as not run: %v", answer)
		}
	}
}

// equalKnownFields removes the unknown fields of a and reports whether it equals b.
func equalKnownFields(a, b proto.Message) bool {
	a.ProtoReflect().SetUnknown(nil)
	return proto.Equal(a, b)
}

// TestDamagedAnswerIsRejected: a corrupted or truncated answer or refusal results in
// an error with an unknown outcome.
func TestDamagedAnswerIsRejected(t *testing.T) {
	g := newGate()
	s := newServer(t, g, 1)
	for _, refused := range []bool{false, true} {
		g.refused["call"] = refused
		whole, err := s.Forward(t.Context(), newRequest())
		if err != nil {
			t.Fatal(err)
		}
		for _, content := range damaged(encode(t, whole)) {
			r := &ffprotocol.ForwardResponse{}
			if proto.Unmarshal(content, r) != nil || equalKnownFields(r, whole) {
				continue
			}
			reply, err := ffforward.ReplyOf("call", r)
			if err == nil || ffcall.OutcomeOf(err) != ffcall.OutcomeUnknown {
				t.Fatalf("%v became %+v, error %v", r, reply, err)
			}
		}
	}
}

// FuzzForward sends arbitrary bytes to the server as a request.
func FuzzForward(f *testing.F) {
	f.Add(encode(f, newRequest()))
	f.Add(encode(f, &ffprotocol.ForwardRequest{CallId: "call", Incarnation: 1}))
	f.Add([]byte{0x0a, 0x01})
	f.Fuzz(func(t *testing.T, content []byte) {
		r := &ffprotocol.ForwardRequest{}
		if proto.Unmarshal(content, r) != nil {
			return
		}
		g := newGate()
		s := newServer(t, g, 1)
		answer, err := s.Forward(t.Context(), r)
		if err != nil || answer.GetCallId() != r.GetCallId() {
			t.Fatalf("answer %v, error %v", answer, err)
		}
		if len(g.ran) > 0 && g.ran[r.GetCallId()] != 1 {
			t.Fatalf("ran %v", g.ran)
		}
		if _, err := s.Outcome(t.Context(), &ffprotocol.OutcomeRequest{CallId: r.GetCallId(), Customer: r.GetCustomer(), Incarnation: r.GetIncarnation()}); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzReplyOf decodes arbitrary bytes as a response.
func FuzzReplyOf(f *testing.F) {
	f.Add(encode(f, &ffprotocol.ForwardResponse{CallId: "call", Status: 200}))
	f.Add([]byte{0x10})
	f.Fuzz(func(t *testing.T, content []byte) {
		r := &ffprotocol.ForwardResponse{}
		if proto.Unmarshal(content, r) != nil {
			return
		}
		reply, err := ffforward.ReplyOf("call", r)
		if (reply == nil) == (err == nil) {
			t.Fatalf("reply %+v, error %v", reply, err)
		}
		if reply != nil && r.GetCallId() != "call" {
			t.Fatalf("the answer to %q was accepted", r.GetCallId())
		}
	})
}
