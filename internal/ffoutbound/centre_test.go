package ffoutbound

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"
)

// TestCutOff replays scripts of contacts and failures, one step a line: the time in
// milliseconds, "contact", "fail VM" or "want true|false".
func TestCutOff(t *testing.T) {
	f, err := os.Open("testdata/cutoff.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	start := time.Unix(1000, 0)
	var name string
	var c centreState
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var ms int
		var step, argument string
		if rest, ok := strings.CutPrefix(lines.Text(), "# "); ok {
			name, c = rest, centreState{}
			continue
		}
		if n, _ := fmt.Sscan(lines.Text(), &ms, &step, &argument); n < 2 {
			t.Fatalf("invalid step %q", lines.Text())
		}
		now := start.Add(time.Duration(ms) * time.Millisecond)
		switch step {
		case "contact":
			c.contact(now)
		case "fail":
			c.fail(netip.MustParseAddr(argument))
		case "want":
			if got := c.cutOff(now); fmt.Sprint(got) != argument {
				t.Errorf("%s, at %d ms: cut off is %v", name, ms, got)
			}
		}
	}
}
