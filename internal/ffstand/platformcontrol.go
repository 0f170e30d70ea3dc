package ffstand

import (
	"io"
	"net/http"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// Bundle names a directory of files to publish.
type Bundle struct {
	Directory string `json:"directory"`
}

// VMState is a new state of a VM.
type VMState struct {
	State ffmember.State `json:"state"`
}

// VMLag is the time for which changes of the VM list stay hidden.
type VMLag struct {
	Millis int64 `json:"millis"`
}

// ControlHandler returns the interface with which tests drive the platform.
func (p *Platform) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /control/values/{key...}", p.controlValue)
	mux.HandleFunc("DELETE /control/values/{key...}", func(_ http.ResponseWriter, r *http.Request) {
		p.Remove(r.PathValue("key"))
	})
	mux.HandleFunc("POST /control/bundle", func(w http.ResponseWriter, r *http.Request) {
		control(w, r, func(b Bundle) error { return p.PublishBundle(b.Directory) })
	})
	mux.HandleFunc("PUT /control/vms", func(w http.ResponseWriter, r *http.Request) {
		control(w, r, func(vms []ffmember.VM) error { p.SetVMs(vms); return nil })
	})
	mux.HandleFunc("PUT /control/vms/{name}", func(w http.ResponseWriter, r *http.Request) {
		control(w, r, func(vm ffmember.VM) error {
			vm.Name = r.PathValue("name")
			p.PutVM(vm)
			return nil
		})
	})
	mux.HandleFunc("PUT /control/vms/{name}/state", func(w http.ResponseWriter, r *http.Request) {
		control(w, r, func(s VMState) error { return p.SetVMState(r.PathValue("name"), s.State) })
	})
	mux.HandleFunc("DELETE /control/vms/{name}", func(_ http.ResponseWriter, r *http.Request) {
		p.RemoveVM(r.PathValue("name"))
	})
	mux.HandleFunc("PUT /control/vmLag", func(w http.ResponseWriter, r *http.Request) {
		control(w, r, func(l VMLag) error {
			p.SetVMLag(time.Duration(l.Millis) * time.Millisecond)
			return nil
		})
	})
	mux.HandleFunc("PUT /control/fault", func(w http.ResponseWriter, r *http.Request) {
		control(w, r, p.SetFault)
	})
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.Counters())
	})
	mux.HandleFunc("DELETE /control/counters", func(http.ResponseWriter, *http.Request) {
		p.ResetCounters()
	})
	mux.HandleFunc("GET /control/ready", func(http.ResponseWriter, *http.Request) {})
	return mux
}

func (p *Platform) controlValue(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if err := p.Publish(map[string][]byte{r.PathValue("key"): content}); err != nil {
		http.Error(w, err.Error(), statusOf(err))
	}
}
