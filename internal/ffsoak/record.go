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

// Record holds all evidence of a soak; the checks use nothing else.
type Record struct {
	Deployment   string              `json:"deployment"`
	Seed         uint64              `json:"seed"`
	Schedule     Schedule            `json:"schedule"`
	VMs          []ffmember.VM       `json:"vms"`
	Faults       []InjectedFault     `json:"faults"`
	Publications []Publication       `json:"publications"`
	Processes    []Process           `json:"processes"`
	Samples      []Sample            `json:"samples"`
	Calls        []Call              `json:"calls"`
	Executions   []ffstand.Execution `json:"executions"`
	// Ended is when the evidence was collected.
	Ended time.Time `json:"ended"`
}

// Process is one process of a daemon.
type Process struct {
	VM      string    `json:"vm"`
	Started time.Time `json:"started"`
	// Ended is zero if the process ran until the end of the soak.
	Ended time.Time `json:"ended"`
	// Applied and Refused are the versions of its audit trail, in order.
	Applied []string `json:"applied"`
	Refused []string `json:"refused,omitempty"`
}

// Sample is a status of a daemon.
type Sample struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Asked and At are when the daemon was asked and when its answer arrived.
	Asked   time.Time        `json:"asked"`
	At      time.Time        `json:"at"`
	Version ffconfig.Version `json:"version"`
	Ready   bool             `json:"ready"`
}

// Call is one call of a caller with its answer.
type Call struct {
	// Key identifies the call; it is part of the path that the target records.
	Key      string `json:"key"`
	Customer string `json:"customer"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	// Entry is the VM of the daemon that was called; empty when several were.
	Entry      string `json:"entry,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	// Token is set if the call was sent with a token, possibly more than once.
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
	// AnswerDigest is the digest of the received bytes; Answer is their decoded form.
	AnswerDigest ffconfig.Digest `json:"answerDigest,omitempty"`
	Answer       *ffstand.Answer `json:"answer,omitempty"`
	// Failure is the error of the call, if any.
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

// ReadRecord reads a record written by Write.
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

// fileMode makes the files of a soak writable by the owner only.
const fileMode = 0o644
