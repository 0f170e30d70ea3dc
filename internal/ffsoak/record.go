package ffsoak

import (
	"encoding/json"
	"os"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
	"fireflyfall.dev/fireflyfall/pkg/ffclient"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Record is everything that was seen in a soak; all checks judge it alone.
type Record struct {
	Deployment   string              `json:"deployment"`
	Seed         uint64              `json:"seed"`
	Schedule     Schedule            `json:"schedule"`
	VMs          []ffmember.VM       `json:"vms"`
	Faults       []Injected          `json:"faults"`
	Publications []Publication       `json:"publications"`
	Processes    []Process           `json:"processes"`
	Samples      []Sample            `json:"samples"`
	Calls        []Call              `json:"calls"`
	Executions   []ffstand.Execution `json:"executions"`
	// Ended is when the last evidence was taken.
	Ended time.Time `json:"ended"`
}

// Process is one life of a daemon.
type Process struct {
	VM      string    `json:"vm"`
	Started time.Time `json:"started"`
	// Ended is zero when the process lived to the end of the soak.
	Ended time.Time `json:"ended"`
	// Applied and Refused are the versions of its audit trail, in order.
	Applied []string `json:"applied"`
	Refused []string `json:"refused,omitempty"`
}

// Sample is one status of a daemon.
type Sample struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Asked and At are when the daemon was asked and when its answer had come.
	Asked   time.Time        `json:"asked"`
	At      time.Time        `json:"at"`
	Version ffconfig.Version `json:"version"`
	Ready   bool             `json:"ready"`
}

// Call is one call of a caller with its answer.
type Call struct {
	// Key names the call; it stands in the path that the target records.
	Key      string `json:"key"`
	Customer string `json:"customer"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	// Entry is the VM of the daemon that was called; empty when several were.
	Entry      string `json:"entry,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	// Token tells that the call was sent with a token, perhaps more than once.
	Token    bool             `json:"token,omitempty"`
	Crash    bool             `json:"crash,omitempty"`
	Started  time.Time        `json:"started"`
	Ended    time.Time        `json:"ended"`
	Deadline time.Time        `json:"deadline"`
	Outcome  ffclient.Outcome `json:"outcome"`
	Status   int              `json:"status,omitempty"`
	Reason   string           `json:"reason,omitempty"`
	CallID   string           `json:"callId,omitempty"`
	// Version is the configuration that the entry used.
	Version    string          `json:"version,omitempty"`
	BodyDigest ffconfig.Digest `json:"bodyDigest"`
	// AnswerDigest is that of the bytes that came; Answer is what they say.
	AnswerDigest ffconfig.Digest `json:"answerDigest,omitempty"`
	Answer       *ffstand.Answer `json:"answer,omitempty"`
	// Failure tells why no answer came.
	Failure string `json:"failure,omitempty"`
}

// Write writes the record as JSON.
func (r *Record) Write(path string) error {
	content, err := json.Marshal(r)
	if err != nil {
		return &Error{Op: "write record", Kind: ErrorFile, Err: err}
	}
	if err := os.WriteFile(path, content, fileMode); err != nil {
		return &Error{Op: "write record", Kind: ErrorFile, Err: err}
	}
	return nil
}

// ReadRecord reads what Write has written.
func ReadRecord(path string) (*Record, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "read record", Kind: ErrorFile, Err: err}
	}
	r := new(Record)
	if err := json.Unmarshal(content, r); err != nil {
		return nil, &Error{Op: "read record", Kind: ErrorFile, Err: err}
	}
	return r, nil
}

// fileMode lets only the owner write the files of a soak.
const fileMode = 0o644
