package ffforward_test

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffforward"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// encode returns the bytes of a message.
func encode(t testing.TB, m proto.Message) []byte {
	t.Helper()
	content, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// bitsPerByte is the number of single changes that a byte can suffer.
const bitsPerByte = 8

// damaged returns every copy of content with one bit changed or its end cut off.
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

// TestDamagedRequestDoesNotRun: whatever part of a request changes on its way,
// the gate does not see it and nothing is claimed of the call.
func TestDamagedRequestDoesNotRun(t *testing.T) {
	whole := newRequest()
	g := newGate()
	s := newServer(t, g, 1)
	for _, content := range damaged(encode(t, whole)) {
		r := &ffprotocol.ForwardRequest{}
		if proto.Unmarshal(content, r) != nil || same(r, whole) {
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

// same reports whether two messages differ at most in fields that nobody knows.
func same(a, b proto.Message) bool {
	a.ProtoReflect().SetUnknown(nil)
	return proto.Equal(a, b)
}

// TestDamagedAnswerIsNoAnswer: whatever part of an answer or a refusal changes
// on its way, neither an answer nor a proof that the call did not run comes of it.
func TestDamagedAnswerIsNoAnswer(t *testing.T) {
	g := newGate()
	s := newServer(t, g, 1)
	for _, barred := range []bool{false, true} {
		g.barred["call"] = barred
		whole, err := s.Forward(t.Context(), newRequest())
		if err != nil {
			t.Fatal(err)
		}
		for _, content := range damaged(encode(t, whole)) {
			r := &ffprotocol.ForwardResponse{}
			if proto.Unmarshal(content, r) != nil || same(r, whole) {
				continue
			}
			reply, err := ffforward.ReplyOf("call", r)
			if err == nil || ffcall.OutcomeOf(err) != ffcall.OutcomeUnknown {
				t.Fatalf("%v became %+v, error %v", r, reply, err)
			}
		}
	}
}

// FuzzForward puts arbitrary bytes of a peer to the server.
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

// FuzzReplyOf reads arbitrary bytes of a peer as an answer.
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
			t.Fatalf("the answer to %q was taken", r.GetCallId())
		}
	})
}
