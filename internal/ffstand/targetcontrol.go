package ffstand

import "net/http"

// ControlHandler returns the interface with which tests drive and judge the target.
func (t *Target) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/executions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, t.Executions())
	})
	mux.HandleFunc("GET /control/state", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, t.State())
	})
	mux.HandleFunc("PUT /control/state", func(w http.ResponseWriter, r *http.Request) {
		control(w, r, t.SetState)
	})
	mux.HandleFunc("GET /control/ready", func(http.ResponseWriter, *http.Request) {})
	return mux
}
