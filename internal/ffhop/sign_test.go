package ffhop_test

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffhop"
)

// sign is the time that the peers of these tests have to show a sign.
const sign = 100 * time.Millisecond

// peer takes one connection, hands it to answer, and returns its address.
func peer(t *testing.T, answer func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
		answer(c)
	}()
	return l.Addr().String()
}

// exchange sends one request that awaits a sign or consent.
func exchange(t *testing.T, address string, consent bool) (*http.Response, error) {
	t.Helper()
	pool := &ffhop.Pool{Address: address, Dialer: ffhop.Dialer(time.Second), MaxIdle: 1}
	conn, err := pool.Get(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	req := &ffhop.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Sign: sign}
	if consent {
		req.Sign, req.Consent = 0, sign
	}
	e, err := conn.Start(t.Context(), req)
	if err != nil {
		return nil, err
	}
	return e.Receive()
}

// TestSilentPeer ends the wait for a peer that shows no sign, and tells that it
// may have got the request, unless no byte of the body went out before its consent.
func TestSilentPeer(t *testing.T) {
	for consent, want := range map[bool]ffhop.Kind{false: ffhop.KindSilent, true: ffhop.KindUnacked} {
		began := time.Now()
		_, err := exchange(t, peer(t, func(net.Conn) {}), consent)
		var failed *ffhop.Error
		if !errors.As(err, &failed) || failed.Kind != want {
			t.Errorf("consent %v: %v, want kind %v", consent, err, want)
		}
		if took := time.Since(began); took < sign || took > 10*sign {
			t.Errorf("consent %v: the wait took %v", consent, took)
		}
	}
}

// TestBusyPeer waits on for a peer that has shown a sign, or that says that the
// body has to wait.
func TestBusyPeer(t *testing.T) {
	const interim, answer = "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for consent, words := range map[bool][]string{
		false: {interim, "", "", answer},
		true:  {interim, interim, interim, "HTTP/1.1 100 Continue\r\n\r\n", answer},
	} {
		resp, err := exchange(t, peer(t, func(c net.Conn) {
			for _, w := range words {
				<-time.After(sign * 6 / 10)
				_, _ = c.Write([]byte(w))
			}
		}), consent)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("consent %v: %v", consent, err)
		}
	}
}
