package fftarget_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/fftarget"
)

// TestReplyResetDuringUpload guards against a response without a length that is taken for
// complete although the target reset it while it still got the request's body.
func TestReplyResetDuringUpload(t *testing.T) {
	const calls, uploadBytes = 50, 16 << 20
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for n := time.Duration(0); ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			}
			<-time.After(n * 100 * time.Microsecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	client := connect(t, fftarget.Settings{Address: l.Addr().String()})
	body := strings.Repeat("b", uploadBytes)
	for i := range calls {
		reply, err := client.Do(t.Context(), newCall(fmt.Sprint("call", i), "", body))
		if err == nil || ffcall.OutcomeOf(err) != ffcall.OutcomeUnknown {
			t.Errorf("call %d: reply %+v, error %v", i, reply, err)
		}
	}
}
