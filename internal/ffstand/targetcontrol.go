package ffstand

import "net/http"

// ControlHandler returns the HTTP handler through which tests control the target
// and read its executions.
func (t *Target) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/executions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, t.Executions())
	})
	mux.HandleFunc("GET /control/state", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, t.State())
	})
	mux.HandleFunc("PUT /control/state", func(w http.ResponseWriter, r *http.Request) {
		handleCommand(w, r, t.SetState)
	})
	mux.HandleFunc("GET /control/ready", func(http.ResponseWriter, *http.Request) {})
	return mux
}
