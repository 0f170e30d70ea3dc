package ffplatform_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffplatform"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// countingLimiter grants every request and counts them.
type countingLimiter struct{ granted atomic.Int64 }

func (l *countingLimiter) Wait(ctx context.Context) error {
	l.granted.Add(1)
	return ctx.Err()
}

// cleanuper is implemented by *testing.T and *rapid.T.
type cleanuper interface{ Cleanup(f func()) }

func serve(t cleanuper, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func connect(t cleanuper, limiter ffplatform.Limiter, addresses ...string) *ffplatform.Client {
	client := ffplatform.NewClient(addresses, limiter, nil)
	t.Cleanup(client.Close)
	return client
}

// response is a platform's response and the expected kind of error.
type response struct {
	Name, Key, Revision, Body, Kind string
	Status, Repeat                  int
	// After is the revision that a watch starts from; zero for a read.
	After uint64
	Cut   bool
}

func (r response) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	body := strings.Repeat(r.Body, max(1, r.Repeat))
	if r.Revision != "" {
		w.Header().Set("Platform-Revision", r.Revision)
	}
	if r.Cut {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write([]byte(body))
}

func TestResponses(t *testing.T) {
	content, err := os.ReadFile("testdata/answers.json")
	if err != nil {
		t.Fatal(err)
	}
	var responses []response
	if err := json.Unmarshal(content, &responses); err != nil {
		t.Fatal(err)
	}
	for _, r := range responses {
		t.Run(r.Name, func(t *testing.T) {
			client := connect(t, &countingLimiter{}, serve(t, r))
			var err error
			switch {
			case r.Key == "":
				_, err = client.VMs(t.Context())
			case r.After > 0:
				_, err = client.Watch(t.Context(), r.Key, r.After, time.Now())
			default:
				_, err = client.Read(t.Context(), r.Key)
			}
			if (err == nil) != (r.Kind == "none") {
				t.Fatalf("error %v, want %s", err, r.Kind)
			}
			if err != nil && ffplatform.KindOf(err).String() != r.Kind {
				t.Fatalf("error %v, want kind %s", err, r.Kind)
			}
		})
	}
}

func TestReadReturnsPublishedValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		platform := ffstand.NewPlatform(ffstand.PlatformSettings{})
		client := connect(t, &countingLimiter{}, serve(t, platform.Handler()))
		published := make(map[string]string)
		revisions := make(map[string]uint64)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"manifest", "notes/a"}).Draw(t, "key")
			if rapid.Bool().Draw(t, "publish") {
				published[key] = rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "content")
				if err := platform.Publish(map[string][]byte{key: []byte(published[key])}); err != nil {
					t.Fatal(err)
				}
			}
			want, ok := published[key]
			v, err := client.Read(t.Context(), key)
			if !ok {
				if ffplatform.KindOf(err) != ffplatform.KindNotFound {
					t.Fatalf("reading an unpublished key returned %v", err)
				}
				continue
			}
			if err != nil || string(v.Content) != want || v.Revision < revisions[key] {
				t.Fatalf("read %q at revision %d (%v), published %q, last revision %d", v.Content, v.Revision, err, want, revisions[key])
			}
			w, err := client.Watch(t.Context(), key, v.Revision, time.Time{})
			if err != nil || w.Revision != v.Revision || w.Content != nil {
				t.Fatalf("watch without a change returned %+v, %v", w, err)
			}
			revisions[key] = v.Revision
		}
	})
}

func TestWatchVMsReturnsChange(t *testing.T) {
	platform := ffstand.NewPlatform(ffstand.PlatformSettings{})
	client := connect(t, &countingLimiter{}, serve(t, platform.Handler()))
	vm := ffmember.VM{Name: "a", DataCentre: "palermo", Service: "prenota", PeerAddress: "127.0.0.1:1", ForwardAddress: "127.0.0.1:2"}
	platform.PutVM(vm)
	list, err := client.VMs(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = platform.SetVMState("a", ffmember.StateLeaving) }()
	list, err = client.WatchVMs(t.Context(), list.Revision, time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	vm.State = ffmember.StateLeaving
	if diff := cmp.Diff([]ffmember.VM{vm}, list.VMs); diff != "" {
		t.Fatal(diff)
	}
}

func TestFailoverToNextAddress(t *testing.T) {
	down, up := ffstand.NewPlatform(ffstand.PlatformSettings{}), ffstand.NewPlatform(ffstand.PlatformSettings{})
	if err := up.Publish(map[string][]byte{"manifest": []byte("one")}); err != nil {
		t.Fatal(err)
	}
	limiter := &countingLimiter{}
	client := connect(t, limiter, serve(t, down.Handler()), serve(t, up.Handler()))
	for _, kind := range []ffstand.FaultKind{ffstand.FaultOutage, ffstand.FaultRefusing} {
		if err := down.SetFault(ffstand.Fault{Kind: kind}); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if _, err := client.Read(t.Context(), "manifest"); err != nil {
				t.Fatal(err)
			}
		}
	}
	if requests := down.Counters().Requests; requests != 1 {
		t.Fatalf("the failing address got %d requests, want 1", requests)
	}
	if granted := limiter.granted.Load(); granted != 7 {
		t.Fatalf("%d requests granted, want 7", granted)
	}
}

// TestLimiterGrantsEachRequest closes a reused connection after a request was
// received on it. By default net/http then retries without asking the limiter.
func TestLimiterGrantsEachRequest(t *testing.T) {
	var requests atomic.Int64
	platform := ffstand.NewPlatform(ffstand.PlatformSettings{})
	if err := platform.Publish(map[string][]byte{"manifest": []byte("one")}); err != nil {
		t.Fatal(err)
	}
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1)%2 == 0 {
			panic(http.ErrAbortHandler)
		}
		platform.Handler().ServeHTTP(w, r)
	}))
	limiter := &countingLimiter{}
	client := connect(t, limiter, address)
	for range 6 {
		_, _ = client.Read(t.Context(), "manifest")
	}
	if granted := limiter.granted.Load(); requests.Load() != granted {
		t.Fatalf("%d requests reached the platform, %d were granted", requests.Load(), granted)
	}
}
