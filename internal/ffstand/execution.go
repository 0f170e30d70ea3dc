package ffstand

import (
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Execution records one execution of a call by a target.
type Execution struct {
	// Number counts the executions of one target process from 1.
	Number   uint64 `json:"number"`
	Target   string `json:"target"`
	CallID   string `json:"callId"`
	Customer string `json:"customer"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	// Ended is zero while the call runs.
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended"`
	// Cancelled is set when the caller disconnected or the deadline passed during
	// the work.
	Cancelled bool `json:"cancelled"`
	// Crashed is set when the answer was truncated on request (Stand-Crash).
	Crashed      bool            `json:"crashed"`
	BodyDigest   ffconfig.Digest `json:"bodyDigest"`
	AnswerDigest ffconfig.Digest `json:"answerDigest"`
}

// recorder stores every execution of a target, and appends each to a log when it
// starts and when it ends. The zero value has no log.
type recorder struct {
	log io.Writer

	mu         sync.Mutex
	executions []Execution
}

// start adds an execution and returns it with its number.
func (r *recorder) start(e Execution) Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Number = uint64(len(r.executions) + 1)
	r.executions = append(r.executions, e)
	r.append(e)
	return e
}

// end replaces an execution by its final state.
func (r *recorder) end(e Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[e.Number-1] = e
	r.append(e)
}

// append writes e to the log as a JSON line. It panics when the write fails.
func (r *recorder) append(e Execution) {
	if r.log == nil {
		return
	}
	line, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	if _, err := r.log.Write(append(line, '\n')); err != nil {
		panic(err)
	}
}

func (r *recorder) all() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.executions)
}
