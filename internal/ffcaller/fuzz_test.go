package ffcaller_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// FuzzRequest sends arbitrary bytes of a caller. Each answer either comes from
// net/http, which refuses what is no request, or tells whether the call ran.
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
				checkEnd(t, err)
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
		if calls := gate.take(); len(calls) < ran {
			t.Fatalf("%d answers of %d calls", ran, len(calls))
		}
	})
}

func checkEnd(t *testing.T, err error) {
	t.Helper()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Fatalf("the daemon neither answers nor closes: %v", err)
	}
}
