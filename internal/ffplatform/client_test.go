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

// cleaner is the part of a test that runs a function at its end.
type cleaner interface{ Cleanup(f func()) }

func serve(t cleaner, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func connect(t cleaner, limiter ffplatform.Limiter, addresses ...string) *ffplatform.Client {
	client := ffplatform.NewClient(addresses, limiter, nil)
	t.Cleanup(client.Close)
	return client
}

// answer is one answer of a platform and the kind of error that must follow.
type answer struct {
	Name, Key, Revision, Body, Kind string
	Status, Repeat                  int
	// After is the revision that a watch knows already; zero for a reading.
	After uint64
	Cut   bool
}

func (a answer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	body := strings.Repeat(a.Body, max(1, a.Repeat))
	if a.Revision != "" {
		w.Header().Set("Platform-Revision", a.Revision)
	}
	if a.Cut {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write([]byte(body))
}

func TestAnswers(t *testing.T) {
	content, err := os.ReadFile("testdata/answers.json")
	if err != nil {
		t.Fatal(err)
	}
	var answers []answer
	if err := json.Unmarshal(content, &answers); err != nil {
		t.Fatal(err)
	}
	for _, a := range answers {
		t.Run(a.Name, func(t *testing.T) {
			client := connect(t, &countingLimiter{}, serve(t, a))
			var err error
			switch {
			case a.Key == "":
				_, err = client.VMs(t.Context())
			case a.After > 0:
				_, err = client.Watch(t.Context(), a.Key, a.After, time.Now())
			default:
				_, err = client.Read(t.Context(), a.Key)
			}
			if (err == nil) != (a.Kind == "none") {
				t.Fatalf("error %v, want %s", err, a.Kind)
			}
			if err != nil && ffplatform.KindOf(err).String() != a.Kind {
				t.Fatalf("error %v, want kind %s", err, a.Kind)
			}
		})
	}
}

func TestReaderSeesWhatIsPublished(t *testing.T) {
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
					t.Fatalf("reading nothing gives %v", err)
				}
				continue
			}
			if err != nil || string(v.Content) != want || v.Revision < revisions[key] {
				t.Fatalf("read %q at %d (%v), published %q, before at %d", v.Content, v.Revision, err, want, revisions[key])
			}
			w, err := client.Watch(t.Context(), key, v.Revision, time.Time{})
			if err != nil || w.Revision != v.Revision || w.Content != nil {
				t.Fatalf("watch without change gives %+v, %v", w, err)
			}
			revisions[key] = v.Revision
		}
	})
}

func TestWatchVMsSeesChange(t *testing.T) {
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

func TestAddressesAreTriedInTurn(t *testing.T) {
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
		t.Fatalf("the address that is down got %d requests", requests)
	}
	if granted := limiter.granted.Load(); granted != 7 {
		t.Fatalf("%d requests granted", granted)
	}
}

// TestLimiterGrantsEachRequest closes a reused connection after it has got a
// request, which net/http answers with a second request unless told otherwise.
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
