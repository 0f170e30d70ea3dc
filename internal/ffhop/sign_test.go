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

// exchange sends one request that awaits a sign or consent, and tells whether the
// peer counted as silent.
func exchange(t *testing.T, address string, consent bool) (resp *http.Response, silent bool, err error) {
	t.Helper()
	pool := &ffhop.Pool{Address: address, Dialer: ffhop.Dialer(time.Second), MaxIdle: 1}
	conn, err := pool.Get(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	req := &ffhop.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Sign: sign, Silent: func() { silent = true }}
	if consent {
		req.Sign, req.Consent = 0, sign
	}
	e, err := conn.Start(t.Context(), req)
	if err != nil {
		return nil, silent, err
	}
	resp, err = e.Receive()
	return resp, silent, err
}

const (
	interim   = "HTTP/1.1 102 Processing\r\n\r\n"
	goOn      = "HTTP/1.1 100 Continue\r\n\r\n"
	lastWords = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

// TestNoConsent ends an exchange whose peer does not ask for the body: no byte of
// it went out.
func TestNoConsent(t *testing.T) {
	began := time.Now()
	_, _, err := exchange(t, peer(t, func(net.Conn) {}), true)
	var failed *ffhop.Error
	if !errors.As(err, &failed) || failed.Kind != ffhop.KindUnacked {
		t.Errorf("%v, want kind %v", err, ffhop.KindUnacked)
	}
	if took := time.Since(began); took < sign || took > 10*sign {
		t.Errorf("the wait took %v", took)
	}
}

// TestSign tells whether a peer has shown a sign in time, and takes its answer in
// any case; words that the body has to wait grant more time for the consent.
func TestSign(t *testing.T) {
	for name, tc := range map[string]struct {
		consent bool
		words   []string
		silent  bool
	}{
		"sign":    {false, []string{interim, "", "", lastWords}, false},
		"silent":  {false, []string{"", "", interim, lastWords}, true},
		"late":    {false, []string{"", "", lastWords}, true},
		"parts":   {false, []string{interim[:5], "", interim[5:], lastWords[:9], lastWords[9:]}, false},
		"consent": {true, []string{interim, interim, interim, goOn, lastWords}, false},
	} {
		resp, silent, err := exchange(t, peer(t, func(c net.Conn) {
			for _, w := range tc.words {
				<-time.After(sign * 6 / 10)
				_, _ = c.Write([]byte(w))
			}
		}), tc.consent)
		if err != nil || resp.StatusCode != http.StatusOK || silent != tc.silent {
			t.Errorf("%s: silent %v, %v", name, silent, err)
		}
	}
}
