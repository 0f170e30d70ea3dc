package ffstand

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// PlatformControl is a client of the control interface of a platform in another
// process.
type PlatformControl struct {
	// Address is the host and port of the control listener.
	Address string
}

// PublishBundle publishes every file below directory, which the platform reads.
func (c PlatformControl) PublishBundle(ctx context.Context, directory string) error {
	return sendJSON(ctx, c.Address, http.MethodPost, "bundle", Bundle{Directory: directory})
}

// Publish publishes one value.
func (c PlatformControl) Publish(ctx context.Context, key string, content []byte) error {
	_, err := send(ctx, c.Address, http.MethodPut, "values/"+key, content)
	return err
}

// SetVMs replaces the list of VMs.
func (c PlatformControl) SetVMs(ctx context.Context, vms []ffmember.VM) error {
	return sendJSON(ctx, c.Address, http.MethodPut, "vms", vms)
}

// PutVM adds or replaces one VM.
func (c PlatformControl) PutVM(ctx context.Context, vm ffmember.VM) error {
	return sendJSON(ctx, c.Address, http.MethodPut, "vms/"+url.PathEscape(vm.Name), vm)
}

// SetVMState changes the state of one VM.
func (c PlatformControl) SetVMState(ctx context.Context, name string, state ffmember.State) error {
	return sendJSON(ctx, c.Address, http.MethodPut, "vms/"+url.PathEscape(name)+"/state", VMState{State: state})
}

// RemoveVM removes a VM from the list.
func (c PlatformControl) RemoveVM(ctx context.Context, name string) error {
	_, err := send(ctx, c.Address, http.MethodDelete, "vms/"+url.PathEscape(name), nil)
	return err
}

// SetVMLag sets how long later changes of the VM list stay hidden.
func (c PlatformControl) SetVMLag(ctx context.Context, lag time.Duration) error {
	return sendJSON(ctx, c.Address, http.MethodPut, "vmLag", VMLag{Millis: lag.Milliseconds()})
}

// SetFault replaces the fault.
func (c PlatformControl) SetFault(ctx context.Context, f Fault) error {
	return sendJSON(ctx, c.Address, http.MethodPut, "fault", f)
}

// Counters returns the counters of the platform.
func (c PlatformControl) Counters(ctx context.Context) (Counters, error) {
	return getJSON[Counters](ctx, c.Address, "counters")
}

// ResetCounters sets the counters to zero, except for the waiting watches.
func (c PlatformControl) ResetCounters(ctx context.Context) error {
	_, err := send(ctx, c.Address, http.MethodDelete, "counters", nil)
	return err
}

// TargetControl is a client of the control interface of a target in another
// process.
type TargetControl struct {
	// Address is the host and port of the control listener.
	Address string
}

// Executions returns every execution in the order in which they started.
func (c TargetControl) Executions(ctx context.Context) ([]Execution, error) {
	return getJSON[[]Execution](ctx, c.Address, "executions")
}

// SetState replaces the state of the target.
func (c TargetControl) SetState(ctx context.Context, s TargetState) error {
	return sendJSON(ctx, c.Address, http.MethodPut, "state", s)
}

// sendJSON sends a control request with a JSON body.
func sendJSON(ctx context.Context, address, method, path string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return &Error{Op: path, Kind: KindInvalid, Err: err}
	}
	_, err = send(ctx, address, method, path, content)
	return err
}

// getJSON sends a control request with method GET and returns the decoded answer.
func getJSON[T any](ctx context.Context, address, path string) (T, error) {
	var answer T
	content, err := send(ctx, address, http.MethodGet, path, nil)
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(content, &answer); err != nil {
		return answer, &Error{Op: path, Kind: KindControl, Err: err}
	}
	return answer, nil
}

// send sends a control request on a connection of its own and returns the body of
// the answer; a status other than 200 is an error.
func send(ctx context.Context, address, method, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/control/"+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: path, Kind: KindInvalid, Err: err}
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, &Error{Op: path, Kind: KindControl, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, &Error{Op: path, Kind: KindControl, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &Error{Op: path, Kind: KindControl, Err: merry.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(answer))}
	}
	return answer, nil
}
