package ffforward_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffforward"
)

// echoGate answers each call immediately with its own header and body.
type echoGate struct{ *fakeGate }

// Do implements ffforward.Gate.
func (echoGate) Do(_ context.Context, c *ffcall.Call) (*ffcall.Reply, error) {
	return &ffcall.Reply{Status: http.StatusOK, Header: c.Header, Body: c.Body}, nil
}

// BenchmarkForward compares forwarded calls over DRPC and over net/http, sequentially
// and from many goroutines.
func BenchmarkForward(b *testing.B) {
	for _, size := range []int{256, 64 << 10} {
		body := bytes.Repeat([]byte("x"), size)
		b.Run(fmt.Sprintf("drpc/%d", size), func(b *testing.B) { benchmark(b, overDRPC(b, body)) })
		b.Run(fmt.Sprintf("http/%d", size), func(b *testing.B) { benchmark(b, overHTTP(b, body)) })
	}
}

func benchmark(b *testing.B, once func() error) {
	b.Run("alone", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if err := once(); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if err := once(); err != nil {
					b.Error(err)
				}
			}
		})
	})
}

func overDRPC(b *testing.B, body []byte) func() error {
	b.Helper()
	d := serve(b, "127.0.0.1:0", newServer(b, echoGate{newGate()}, 1))
	client := &ffforward.Client{Self: "entry"}
	b.Cleanup(client.Close)
	return func() error {
		call := newCall("call")
		call.Body = body
		_, err := client.Do(context.Background(), vmAt(d.address), call)
		return err
	}
}

// overHTTP sends comparable fields as headers, with a checksum of the body.
func overHTTP(b *testing.B, body []byte) func() error {
	b.Helper()
	server := httptest.NewServer(http.HandlerFunc(echo))
	b.Cleanup(server.Close)
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	b.Cleanup(transport.CloseIdleConnections)
	client := &http.Client{Transport: transport}
	return func() error {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/coins?year=1890", bytes.NewReader(body))
		if err != nil {
			return err
		}
		for _, name := range []string{"Call-Id", "Customer", "Route", "Version", "From", "Incarnation"} {
			r.Header.Set("Forward-"+name, "value")
		}
		r.Header.Set("Forward-Remaining", strconv.FormatInt(time.Second.Microseconds(), 10))
		r.Header.Set("Forward-Checksum", strconv.FormatUint(xxhash.Sum64(body), 16))
		answer, err := client.Do(r)
		if err != nil {
			return err
		}
		defer func() { _ = answer.Body.Close() }()
		content, err := io.ReadAll(answer.Body)
		if err == nil && answer.Header.Get("Forward-Checksum") != strconv.FormatUint(xxhash.Sum64(content), 16) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Header.Get("Forward-Checksum") != strconv.FormatUint(xxhash.Sum64(body), 16) {
		http.Error(w, "truncated", http.StatusBadRequest)
		return
	}
	for _, name := range []string{"Call-Id", "Checksum"} {
		w.Header().Set("Forward-"+name, r.Header.Get("Forward-"+name))
	}
	_, _ = w.Write(body)
}
