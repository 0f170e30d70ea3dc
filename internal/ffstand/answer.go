package ffstand

import (
	"encoding/json"
	"strings"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Answer is the body with which a target answers a call. Its content differs
// between any two executions.
type Answer struct {
	CallID     string          `json:"callId"`
	Target     string          `json:"target"`
	Execution  uint64          `json:"execution"`
	BodyDigest ffconfig.Digest `json:"bodyDigest"`
	Padding    string          `json:"padding"`
}

// encodeAnswer returns the answer of an execution with some bytes of padding,
// which follow from the other fields.
func encodeAnswer(e Execution, paddingBytes int) []byte {
	a := Answer{CallID: e.CallID, Target: e.Target, Execution: e.Number, BodyDigest: e.BodyDigest}
	a.Padding = a.padding(paddingBytes)
	content, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	return content
}

// Whole reports whether the padding is the one that the other fields imply.
func (a Answer) Whole() bool {
	return a.Padding == a.padding(len(a.Padding))
}

func (a Answer) padding(n int) string {
	a.Padding = ""
	fields, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	digest := string(ffconfig.DigestOf(fields))
	return strings.Repeat(digest, n/len(digest)+1)[:n]
}
