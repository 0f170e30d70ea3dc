package ffstand_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
)

func get(t *testing.T, p *ffstand.Platform, path string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	p.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil))
	return w
}

func publish(t *testing.T, p *ffstand.Platform, content string) {
	t.Helper()
	if err := p.Publish(map[string][]byte{"manifest": []byte(content)}); err != nil {
		t.Fatal(err)
	}
}

func setFault(t *testing.T, p *ffstand.Platform, f ffstand.Fault) {
	t.Helper()
	if err := p.SetFault(f); err != nil {
		t.Fatal(err)
	}
}

func bodies(t *testing.T, p *ffstand.Platform, n int) string {
	t.Helper()
	var all []string
	for range n {
		all = append(all, get(t, p, "/v1/values/manifest").Body.String())
	}
	return strings.Join(all, " ")
}

func TestVMListLagHidesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := ffstand.NewPlatform(ffstand.PlatformSettings{})
		p.SetVMs([]ffmember.VM{{Name: "a"}})
		p.SetVMLag(3 * time.Second)
		p.RemoveVM("a")
		if body := get(t, p, "/v1/vms").Body.String(); !strings.Contains(body, `"a"`) {
			t.Fatalf("VM removed before the lag passed: %s", body)
		}
		start := time.Now()
		w := get(t, p, "/v1/vms?after=1&waitMillis=10000")
		if body := w.Body.String(); body != "[]" {
			t.Fatalf("VM still listed: %s", body)
		}
		if waited := time.Since(start); waited != 3*time.Second {
			t.Fatalf("change seen after %v", waited)
		}
	})
}

func TestWatchTimesOutUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := ffstand.NewPlatform(ffstand.PlatformSettings{MaxCallsPerSecond: 1})
		publish(t, p, "one")
		if w := get(t, p, "/v1/values/manifest?after=1&waitMillis=2500"); w.Code != http.StatusNotModified {
			t.Fatalf("status %d", w.Code)
		}
		if c := p.Counters(); c.Calls != 3 || c.HighestCallsPerSecond != 1 {
			t.Fatalf("a watch of 2.5 s counted as %+v", c)
		}
		if w := get(t, p, "/v1/values/manifest"); w.Code != http.StatusTooManyRequests {
			t.Fatalf("status %d above the limit", w.Code)
		}
	})
}

func TestOutageEndsWaitingWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := ffstand.NewPlatform(ffstand.PlatformSettings{})
		publish(t, p, "one")
		done := make(chan int)
		go func() { done <- get(t, p, "/v1/values/manifest?after=1&waitMillis=60000").Code }()
		synctest.Wait()
		setFault(t, p, ffstand.Fault{Kind: ffstand.FaultOutage})
		if status := <-done; status != http.StatusServiceUnavailable {
			t.Fatalf("status %d", status)
		}
	})
}

func TestStaleAndFlappingStates(t *testing.T) {
	p := ffstand.NewPlatform(ffstand.PlatformSettings{})
	publish(t, p, "one")
	publish(t, p, "two")
	setFault(t, p, ffstand.Fault{Kind: ffstand.FaultStale})
	publish(t, p, "three")
	if got := bodies(t, p, 2); got != "two two" {
		t.Fatalf("stale: %s", got)
	}
	setFault(t, p, ffstand.Fault{Kind: ffstand.FaultFlapping, PublicationsBack: 2})
	if got := bodies(t, p, 4); got != "one three one three" {
		t.Fatalf("flapping: %s", got)
	}
	setFault(t, p, ffstand.Fault{Kind: ffstand.FaultCorrupt, Key: "manifest"})
	if got := bodies(t, p, 1); got == "three" || len(got) != len("three") {
		t.Fatalf("corrupt: %s", got)
	}
	setFault(t, p, ffstand.Fault{})
	if got := bodies(t, p, 1); got != "three" {
		t.Fatalf("after the fault: %s", got)
	}
}

func TestPublishRefusesLargeValue(t *testing.T) {
	p := ffstand.NewPlatform(ffstand.PlatformSettings{})
	err := p.Publish(map[string][]byte{"manifest": make([]byte, ffstand.MaxValueBytes+1), "small": nil})
	if err == nil {
		t.Fatal("value above the maximum size was published")
	}
	if w := get(t, p, "/v1/values/small"); w.Code != http.StatusNotFound {
		t.Fatalf("part of a refused publication is visible: status %d", w.Code)
	}
}
