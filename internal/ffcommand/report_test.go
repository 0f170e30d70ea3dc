package ffcommand

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffoperator"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// TestReportListsOutdatedDaemons checks that the report lists each daemon that doesn't serve
// the greatest version, with the reason, grouped by data centre.
func TestReportListsOutdatedDaemons(t *testing.T) {
	old, current := ffconfig.Version{Number: 1, Digest: "aa"}, ffconfig.Version{Number: 2, Digest: "bb"}
	answer := func(name, dataCentre string, s ffoperator.Status, err error) ffoperator.Result[ffoperator.Status] {
		return ffoperator.Result[ffoperator.Status]{VM: ffmember.VM{Name: name, DataCentre: dataCentre}, Value: s, Err: err}
	}
	r := versionReport{answers: []ffoperator.Result[ffoperator.Status]{
		answer("p-2", "palermo", ffoperator.Status{Version: old, Ready: true}, nil),
		answer("c-1", "catania", ffoperator.Status{Version: current, Ready: true}, nil),
		answer("c-2", "catania", ffoperator.Status{}, errors.New("refused")),
		answer("p-1", "palermo", ffoperator.Status{Version: current, Ready: true}, nil),
		answer("p-3", "palermo", ffoperator.Status{Version: current, Reason: "paused"}, nil),
		answer("p-4", "palermo", ffoperator.Status{Version: current, Ready: true, Draining: true}, nil),
	}}
	var b strings.Builder
	if err := r.write(&b); err != nil {
		t.Fatal(err)
	}
	want := `greatest version in force: 2@bb
catania: 1 of 2 daemons have it
  c-2: no answer: refused
palermo: 1 of 4 daemons have it
  p-2: has version 1@aa
  p-3: not ready: paused
  p-4: draining
`
	if diff := cmp.Diff(want, b.String()); diff != "" {
		t.Error(diff)
	}
}
