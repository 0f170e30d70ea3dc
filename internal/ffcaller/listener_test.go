package ffcaller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// hammer sends requests over new connections until the port is closed.
type hammer struct {
	url      string
	answered *atomic.Int64
}

// run returns the first fault that is not a refused connection.
func (h *hammer) run() error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r, err := client.Post(h.url, "text/plain", nil)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil
		}
		if err != nil {
			return err
		}
		_ = r.Body.Close()
		h.answered.Add(1)
	}
}

// TestFinishedListenerCutsNoRequest stops a server in the middle of a storm of
// new connections, again and again.
func TestFinishedListenerCutsNoRequest(t *testing.T) {
	const rounds, callers, warm = 5, 8, 50
	for range rounds {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := NewListener(inner.(*net.TCPListener))
		var answered atomic.Int64
		var once sync.Once
		warmed := make(chan struct{})
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			if answered.Load() >= warm {
				once.Do(func() { close(warmed) })
			}
		})}
		var wg sync.WaitGroup
		wg.Go(func() { _ = server.Serve(l) })
		for range callers {
			h := &hammer{url: "http://" + inner.Addr().String(), answered: &answered}
			wg.Go(func() {
				if err := h.run(); err != nil {
					t.Error(err)
				}
			})
		}
		<-warmed
		if err := l.Finish(context.Background()); err != nil {
			t.Fatal(err)
		}
		if err := server.Shutdown(context.Background()); err != nil {
			t.Fatal(err)
		}
		wg.Wait()
	}
}
