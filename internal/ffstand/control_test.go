package ffstand_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
)

func TestPlatformControl(t *testing.T) {
	p := ffstand.NewPlatform(ffstand.PlatformSettings{})
	server := httptest.NewServer(p.ControlHandler())
	defer server.Close()
	control := ffstand.PlatformControl{Address: server.Listener.Addr().String()}
	ctx := t.Context()
	do := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	bundle := t.TempDir()
	do(os.Mkdir(filepath.Join(bundle, "pieces"), 0o755))
	do(os.WriteFile(filepath.Join(bundle, "pieces", "ab"), []byte("piece"), 0o600))
	do(control.PublishBundle(ctx, bundle))
	do(control.Publish(ctx, "manifest", []byte("one")))
	do(control.SetVMs(ctx, []ffmember.VM{{Name: "a"}, {Name: "b"}}))
	do(control.SetVMState(ctx, "a", ffmember.StateLeaving))
	do(control.RemoveVM(ctx, "b"))
	do(control.PutVM(ctx, ffmember.VM{Name: "c"}))
	do(control.SetVMLag(ctx, time.Hour))
	do(control.PutVM(ctx, ffmember.VM{Name: "hidden"}))
	for path, want := range map[string]string{
		"/v1/values/pieces/ab": "piece",
		"/v1/values/manifest":  "one",
		"/v1/vms": `[{"name":"a","dataCentre":"","service":"","peerAddress":"","forwardAddress":"","operatorAddress":"","state":"leaving"},` +
			`{"name":"c","dataCentre":"","service":"","peerAddress":"","forwardAddress":"","operatorAddress":"","state":"live"}]`,
	} {
		if got := get(t, p, path).Body.String(); got != want {
			t.Fatalf("%s returned %s, want %s", path, got, want)
		}
	}
	counters, err := control.Counters(ctx)
	if do(err); counters.Requests != 3 {
		t.Fatalf("counters %+v", counters)
	}
	do(control.ResetCounters(ctx))
	do(control.SetFault(ctx, ffstand.Fault{Kind: ffstand.FaultOutage}))
	if w := get(t, p, "/v1/vms"); w.Code != http.StatusServiceUnavailable {
		t.Fatalf("status %d", w.Code)
	}
	if counters, err := control.Counters(ctx); err != nil || counters.Requests != 1 {
		t.Fatalf("counters %+v, error %v", counters, err)
	}
	for what, err := range map[string]error{
		"value too large":     control.Publish(ctx, "manifest", make([]byte, ffstand.MaxValueBytes+1)),
		"unknown VM":          control.SetVMState(ctx, "b", ffmember.StateGone),
		"empty bundle":        control.PublishBundle(ctx, t.TempDir()),
		"corrupt without key": control.SetFault(ctx, ffstand.Fault{Kind: ffstand.FaultCorrupt}),
		"back beyond history": control.SetFault(ctx, ffstand.Fault{Kind: ffstand.FaultStale, PublicationsBack: 99}),
	} {
		if err == nil {
			t.Fatalf("%s: no error", what)
		}
	}
}

func TestTargetControl(t *testing.T) {
	target := ffstand.NewTarget(ffstand.TargetSettings{Name: "a"})
	server := httptest.NewServer(target.ControlHandler())
	defer server.Close()
	control := ffstand.TargetControl{Address: server.Listener.Addr().String()}
	call(t.Context(), target, "x", "Fireflyfall-Call-Id", "c1")
	executions, err := control.Executions(t.Context())
	if err != nil || len(executions) != 1 || executions[0].CallID != "c1" {
		t.Fatalf("executions %+v, error %v", executions, err)
	}
	if err := control.SetState(t.Context(), ffstand.TargetState{Draining: true}); err != nil || !target.State().Draining {
		t.Fatal(err)
	}
	if control.SetState(t.Context(), ffstand.TargetState{SlowFactor: -1}) == nil {
		t.Fatal("negative factor accepted")
	}
}
