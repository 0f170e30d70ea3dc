package ffmember_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

var epoch = time.UnixMilli(1_800_000_000_000)

func vmNamed(name string, state ffmember.State) ffmember.VM {
	return ffmember.VM{Name: name, DataCentre: "dc-" + name[:1], Service: "desk", PeerAddress: name + ":1", State: state}
}

var states = []ffmember.State{ffmember.StateLive, ffmember.StateLeaving, ffmember.StateGone}

var names = []string{"a1", "a2", "b1"}

func drawEvidence(t *rapid.T) ffmember.Evidence {
	return ffmember.Evidence{
		VM:          vmNamed(rapid.SampledFrom(names).Draw(t, "name"), ffmember.StateLive),
		Incarnation: ffmember.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
		State:       rapid.SampledFrom(states).Draw(t, "state"),
		Expires:     epoch.Add(time.Duration(rapid.IntRange(-1, 5).Draw(t, "expires")) * time.Second),
	}
}

func drawList(t *rapid.T) *ffmember.List {
	var vms []ffmember.VM
	for _, name := range names {
		if rapid.Bool().Draw(t, "listed "+name) {
			vms = append(vms, vmNamed(name, rapid.SampledFrom(states).Draw(t, "state of "+name)))
		}
	}
	return ffmember.NewList(uint64(rapid.IntRange(1, 4).Draw(t, "revision")), vms)
}

// naiveStates computes each VM's state from all lists and evidence ever received.
func naiveStates(now time.Time, lists []*ffmember.List, received []ffmember.Evidence) map[string]ffmember.State {
	newest := &ffmember.List{}
	for _, l := range lists {
		if l.NewerThan(newest) {
			newest = l
		}
	}
	result := make(map[string]ffmember.State)
	for _, name := range names {
		listed, ok := newest.VM(name)
		state := ffmember.StateGone
		if ok {
			state = listed.State
		}
		if reported, ok := naiveEvidence(now, name, received); ok {
			if !(reported == ffmember.StateLive && state == ffmember.StateLeaving) {
				state = reported
			}
		}
		if state != ffmember.StateGone {
			result[name] = state
		}
	}
	return result
}

// naiveEvidence returns the greatest state of the latest incarnation, and whether
// its latest expiry time is after now.
func naiveEvidence(now time.Time, name string, received []ffmember.Evidence) (ffmember.State, bool) {
	var latest ffmember.Incarnation
	for _, e := range received {
		if e.VM.Name == name && e.Expires.After(epoch) {
			latest = max(latest, e.Incarnation)
		}
	}
	state, valid := ffmember.StateLive, false
	for _, e := range received {
		if e.VM.Name != name || e.Incarnation != latest || !e.Expires.After(epoch) {
			continue
		}
		state = max(state, e.State)
		valid = valid || e.Expires.After(now)
	}
	return state, valid
}

func statesOf(v *ffmember.View) map[string]ffmember.State {
	result := make(map[string]ffmember.State)
	for _, name := range names {
		if vm, ok := v.VM(name); ok {
			result[name] = vm.State
		}
	}
	return result
}

// TestViewEqualsNaiveMerge applies lists and evidence in two orders, with
// duplicates, and compares both views with the naive merge, before and after expiry.
func TestViewEqualsNaiveMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := rapid.SliceOfN(rapid.Custom(drawList), 0, 3).Draw(t, "lists")
		received := rapid.SliceOfN(rapid.Custom(drawEvidence), 0, 8).Draw(t, "received")
		repeated := append(append([]ffmember.Evidence{}, received...), received[:len(received)/2]...)
		shuffled := rapid.Permutation(repeated).Draw(t, "order")
		var first, second ffmember.View
		a, b := &first, &second
		for _, e := range received {
			a = a.WithEvidence(epoch, e)
		}
		for _, l := range lists {
			a = a.WithList(l)
		}
		for _, l := range rapid.Permutation(lists).Draw(t, "order of lists") {
			b = b.WithList(l)
		}
		b = b.WithEvidence(epoch, shuffled...)
		if a.EvidenceDigest() != b.EvidenceDigest() || a.List().Digest() != b.List().Digest() {
			t.Fatalf("digests depend on the order of updates")
		}
		for _, after := range []time.Duration{0, 2 * time.Second, 10 * time.Second} {
			now := epoch.Add(after)
			want := naiveStates(now, lists, received)
			for _, v := range []*ffmember.View{a, b} {
				if diff := cmp.Diff(want, statesOf(v.WithoutExpired(now))); diff != "" {
					t.Fatalf("after %v: %s", after, diff)
				}
			}
		}
	})
}

// TestGroupsAgreeWithVMs compares the groups of a view with the result of View.VM for each name.
func TestGroupsAgreeWithVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := (&ffmember.View{}).WithList(drawList(t))
		v = v.WithEvidence(epoch, rapid.SliceOfN(rapid.Custom(drawEvidence), 0, 4).Draw(t, "received")...)
		var all []ffmember.VM
		byDataCentre := make(map[string][]ffmember.VM)
		for _, name := range names {
			if vm, ok := v.VM(name); ok && vm.State == ffmember.StateLive {
				all = append(all, vm)
				byDataCentre[vm.DataCentre] = append(byDataCentre[vm.DataCentre], vm)
			}
		}
		equateEmpty := cmpopts.EquateEmpty()
		if diff := cmp.Diff(all, v.AllLive(), equateEmpty) + cmp.Diff(all, v.Live("desk"), equateEmpty); diff != "" {
			t.Fatal(diff)
		}
		for _, d := range []string{"dc-a", "dc-b"} {
			if diff := cmp.Diff(byDataCentre[d], v.InDataCentre(d), equateEmpty); diff != "" {
				t.Fatal(diff)
			}
		}
		if len(v.DataCentres()) != len(byDataCentre) {
			t.Fatalf("data centres %v, want those of %v", v.DataCentres(), byDataCentre)
		}
	})
}

// TestDifferingBucketsPatchList patches a list with the differing buckets of another
// and expects equal lists.
func TestDifferingBucketsPatchList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string, revision uint64) *ffmember.List {
			var vms []ffmember.VM
			for i := range rapid.IntRange(0, 40).Draw(t, label) {
				if rapid.IntRange(0, 9).Draw(t, label+" drops") > 0 {
					vms = append(vms, vmNamed(fmt.Sprintf("a%d", i), ffmember.StateLive))
				}
			}
			return ffmember.NewList(revision, vms)
		}
		old, latest := draw("old", 1), draw("latest", 2)
		buckets := latest.DifferingBuckets(old.BucketDigests())
		patched := old.WithBuckets(2, buckets, latest.InBuckets(buckets))
		if patched.Digest() != latest.Digest() || patched.Len() != latest.Len() {
			t.Fatalf("patched has %d VMs, want %d", patched.Len(), latest.Len())
		}
	})
}

func TestEvidenceIsBounded(t *testing.T) {
	v := &ffmember.View{}
	var all []ffmember.Evidence
	for i := range ffmember.MaxEvidence + 100 {
		vm := vmNamed(fmt.Sprintf("a%d", i), ffmember.StateLive)
		all = append(all, ffmember.Evidence{VM: vm, Incarnation: 1, Expires: epoch.Add(time.Duration(i+1) * time.Millisecond)})
	}
	v = v.WithEvidence(epoch, all...)
	if got := len(v.Evidence()); got != ffmember.MaxEvidence {
		t.Errorf("%d pieces of evidence, want %d", got, ffmember.MaxEvidence)
	}
	if _, ok := v.EvidenceOf("a0"); ok {
		t.Error("the evidence that expires first was kept")
	}
	far := ffmember.Evidence{VM: vmNamed("b1", ffmember.StateLive), Incarnation: 9, Expires: epoch.Add(time.Hour)}
	if v.WithEvidence(epoch, far) != v {
		t.Error("evidence that expires too late was accepted")
	}
}

func TestIncarnationsIncreaseWithStartTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := rapid.Uint64().Draw(t, "first"), rapid.Uint64().Draw(t, "second")
		gap := time.Duration(rapid.IntRange(1, 1000).Draw(t, "gap")) * time.Millisecond
		a, b := ffmember.NewIncarnation(epoch, first), ffmember.NewIncarnation(epoch.Add(gap), second)
		if a >= b || !a.StartTime().Equal(epoch) {
			t.Fatalf("%d started at %v, and %d after it", a, a.StartTime(), b)
		}
	})
}

// newFleet returns a list of count VMs in 6 data centres and 290 services.
func newFleet(count int) *ffmember.List {
	vms := make([]ffmember.VM, count)
	for i := range vms {
		vms[i] = ffmember.VM{
			Name:           fmt.Sprintf("vm-%05d", i),
			DataCentre:     fmt.Sprintf("dc-%d", i%6),
			Service:        fmt.Sprintf("service-%03d", i%290),
			PeerAddress:    fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
			ForwardAddress: fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
		}
	}
	return ffmember.NewList(1, vms)
}

// BenchmarkViewWithEvidence uses 5200 VMs, the planned size of the fleet.
func BenchmarkViewWithEvidence(b *testing.B) {
	v := (&ffmember.View{}).WithList(newFleet(5200))
	leaving, _ := v.VM("vm-00001")
	for i := range b.N {
		e := ffmember.Evidence{VM: leaving, State: ffmember.StateLeaving, Incarnation: ffmember.Incarnation(i + 1), Expires: epoch.Add(time.Second)}
		v = v.WithEvidence(epoch, e)
		v.InDataCentre(leaving.DataCentre)
	}
}

func BenchmarkListOfLargestFleet(b *testing.B) {
	vms := newFleet(5200).VMs()
	b.ReportAllocs()
	for range b.N {
		(&ffmember.View{}).WithList(ffmember.NewList(1, vms)).InDataCentre("dc-1")
	}
}
