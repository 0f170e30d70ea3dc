package ffstand

import (
	"encoding/json"
	"strings"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Answer is the body of a target's answer to a call. No two executions produce
// the same content.
type Answer struct {
	CallID     string          `json:"callId"`
	Target     string          `json:"target"`
	Execution  uint64          `json:"execution"`
	BodyDigest ffconfig.Digest `json:"bodyDigest"`
	Padding    string          `json:"padding"`
}

// encodeAnswer returns the encoded answer of an execution. Its padding is derived
// from the other fields, so that a damaged answer is detected.
func encodeAnswer(e Execution, paddingBytes int) []byte {
	a := Answer{CallID: e.CallID, Target: e.Target, Execution: e.Number, BodyDigest: e.BodyDigest}
	a.Padding = a.padding(paddingBytes)
	content, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	return content
}

// Intact reports whether the padding matches the other fields.
func (a Answer) Intact() bool {
	return a.Padding == a.padding(len(a.Padding))
}

// padding returns n bytes that repeat the digest of the other fields.
func (a Answer) padding(n int) string {
	a.Padding = ""
	fields, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	digest := string(ffconfig.DigestOf(fields))
	return strings.Repeat(digest, n/len(digest)+1)[:n]
}
