package ffcaller_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// FuzzRequest sends arbitrary bytes as a caller. Each answer is either an error of
// net/http, which rejects malformed requests, or reports whether the call ran.
func FuzzRequest(f *testing.F) {
	for _, c := range readCases(f) {
		f.Add([]byte(c.text()))
	}
	f.Add([]byte("GET"))
	gate := &fakeGate{}
	address := start(f, gate)
	f.Fuzz(func(t *testing.T, content []byte) {
		c := dial(t, address)
		defer func() { _ = c.Close() }()
		_, _ = c.Write(content)
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		ran := 0
		for {
			r, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				failOnTimeout(t, err)
				break
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				break // an answer to HEAD has a length and no body
			}
			outcome := r.Header.Get("Fireflyfall-Outcome")
			if outcome == "" && r.StatusCode != http.StatusOK && r.StatusCode < http.StatusBadRequest || r.StatusCode == http.StatusInternalServerError {
				t.Fatalf("status %d, outcome %q", r.StatusCode, outcome)
			}
			if outcome == "ran" {
				ran++
			}
		}
		if calls := gate.takeCalls(); len(calls) < ran {
			t.Fatalf("%d calls reported as run, but the gate received %d", ran, len(calls))
		}
	})
}

func failOnTimeout(t *testing.T, err error) {
	t.Helper()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Fatalf("the daemon neither answers nor closes the connection: %v", err)
	}
}
