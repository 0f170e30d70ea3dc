package ffstand

import (
	"encoding/json"
	"errors"
	"net/http"
)

// maxControlBytes is the maximum size of the body of a control request.
const maxControlBytes = 8 << 20

// handleCommand decodes the JSON body of r and passes it to apply. An error of
// either is the answer.
func handleCommand[T any](w http.ResponseWriter, r *http.Request, apply func(T) error) {
	var command T
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := apply(command); err != nil {
		http.Error(w, err.Error(), statusOf(err))
	}
}

// statusOf returns the HTTP status for an error of this package.
func statusOf(err error) int {
	var e *Error
	if !errors.As(err, &e) {
		return http.StatusInternalServerError
	}
	switch e.Kind {
	case KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case KindNotFound:
		return http.StatusNotFound
	default:
		return http.StatusBadRequest
	}
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
