package ffstand

import (
	"io"
	"net/http"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// Bundle is the body of a request that publishes the files below a directory.
type Bundle struct {
	Directory string `json:"directory"`
}

// VMState is the body of a request that changes the state of a VM.
type VMState struct {
	State ffmember.State `json:"state"`
}

// VMLag is the body of a request that sets how long later changes of the VM list
// stay hidden, in milliseconds.
type VMLag struct {
	Millis int64 `json:"millis"`
}

// ControlHandler returns the HTTP handler through which tests control the platform.
func (p *Platform) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /control/values/{key...}", p.putValue)
	mux.HandleFunc("DELETE /control/values/{key...}", func(_ http.ResponseWriter, r *http.Request) {
		p.Remove(r.PathValue("key"))
	})
	mux.HandleFunc("POST /control/bundle", func(w http.ResponseWriter, r *http.Request) {
		handleCommand(w, r, func(b Bundle) error { return p.PublishBundle(b.Directory) })
	})
	mux.HandleFunc("PUT /control/vms", func(w http.ResponseWriter, r *http.Request) {
		handleCommand(w, r, func(vms []ffmember.VM) error { p.SetVMs(vms); return nil })
	})
	mux.HandleFunc("PUT /control/vms/{name}", func(w http.ResponseWriter, r *http.Request) {
		handleCommand(w, r, func(vm ffmember.VM) error {
			vm.Name = r.PathValue("name")
			p.PutVM(vm)
			return nil
		})
	})
	mux.HandleFunc("PUT /control/vms/{name}/state", func(w http.ResponseWriter, r *http.Request) {
		handleCommand(w, r, func(s VMState) error { return p.SetVMState(r.PathValue("name"), s.State) })
	})
	mux.HandleFunc("DELETE /control/vms/{name}", func(_ http.ResponseWriter, r *http.Request) {
		p.RemoveVM(r.PathValue("name"))
	})
	mux.HandleFunc("PUT /control/vmLag", func(w http.ResponseWriter, r *http.Request) {
		handleCommand(w, r, func(l VMLag) error {
			p.SetVMLag(time.Duration(l.Millis) * time.Millisecond)
			return nil
		})
	})
	mux.HandleFunc("PUT /control/fault", func(w http.ResponseWriter, r *http.Request) {
		handleCommand(w, r, p.SetFault)
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

// putValue publishes the body of the request under the key in its path.
func (p *Platform) putValue(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if err := p.Publish(map[string][]byte{r.PathValue("key"): content}); err != nil {
		http.Error(w, err.Error(), statusOf(err))
	}
}
