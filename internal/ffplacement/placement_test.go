package ffplacement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffplacement"
)

// Planned sizes of the fleet and of one data centre, in VMs.
const (
	fleetSize      = 5200
	dataCentreSize = 867
)

func vmsOf(count int) []ffmember.VM {
	vms := make([]ffmember.VM, count)
	for i := range vms {
		vms[i] = ffmember.VM{Name: fmt.Sprintf("vm-%05d", i), DataCentre: "palermo"}
	}
	return vms
}

func TestFirstIsPrefixOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := vmsOf(rapid.IntRange(0, 60).Draw(t, "count"))
		key := rapid.String().Draw(t, "key")
		n := rapid.IntRange(0, 8).Draw(t, "n")
		order := ffplacement.Order(key, vms)
		if diff := cmp.Diff(order[:min(n, len(order))], ffplacement.First(key, vms, n)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestLossKeepsOrderOfOtherVMs checks that the loss of a VM does not change the order of the others.
func TestLossKeepsOrderOfOtherVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := vmsOf(rapid.IntRange(1, 60).Draw(t, "count"))
		lost := rapid.IntRange(0, len(vms)-1).Draw(t, "lost")
		isLost := func(vm ffmember.VM) bool { return vm.Name == vms[lost].Name }
		order := slices.DeleteFunc(ffplacement.Order("key", vms), isLost)
		rest := slices.DeleteFunc(slices.Clone(vms), isLost)
		if diff := cmp.Diff(order, ffplacement.Order("key", rest)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestTreeReachesEachVMOnce checks that an announcement from the roots reaches
// each VM exactly once, within four levels.
func TestTreeReachesEachVMOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := ffplacement.Order("7@abc", vmsOf(rapid.IntRange(0, dataCentreSize).Draw(t, "count")))
		announcements := make(map[string]int)
		level, depth := ffplacement.Roots(order), 0
		for len(level) > 0 {
			var next []ffmember.VM
			for _, vm := range level {
				announcements[vm.Name]++
				next = append(next, ffplacement.Children(vm.Name, order)...)
			}
			level = next
			depth++
		}
		for _, vm := range order {
			if announcements[vm.Name] != 1 {
				t.Fatalf("%s receives the announcement %d times, want once", vm.Name, announcements[vm.Name])
			}
		}
		if depth > 4 {
			t.Fatalf("the tree over %d VMs has %d levels", len(order), depth)
		}
	})
}

func TestCustomersAreSpreadOverAllocators(t *testing.T) {
	vms := vmsOf(20)
	load := make(map[string]int)
	const customers = 2000
	for i := range customers {
		vm, ok := ffplacement.Allocator(vms, fmt.Sprintf("customer-%d", i), "palermo")
		if !ok {
			t.Fatal("no allocator among 20 VMs")
		}
		load[vm.Name]++
	}
	for _, vm := range vms {
		if load[vm.Name] < customers/20/2 || load[vm.Name] > customers/20*2 {
			t.Errorf("%s allocates for %d of %d customers", vm.Name, load[vm.Name], customers)
		}
	}
	if _, ok := ffplacement.Allocator(nil, "customer-0", "palermo"); ok {
		t.Error("Allocator returned a VM for an empty list")
	}
}

func TestFavouredReadersComeFirst(t *testing.T) {
	vms := vmsOf(dataCentreSize)
	const fraction = 0.03
	readers := ffplacement.FavouredReaders(vms, "palermo", ffplacement.ReaderCount, fraction)
	for _, vm := range readers {
		if !ffplacement.Favoured(vm.Name, fraction) {
			t.Errorf("reader %s is not favoured", vm.Name)
		}
	}
	if few := ffplacement.FavouredReaders(vms, "palermo", 2*ffplacement.ReaderCount, 0); len(few) != 2*ffplacement.ReaderCount {
		t.Errorf("%d readers when no VM is favoured", len(few))
	}
}

func BenchmarkOrder(b *testing.B) {
	vms := vmsOf(dataCentreSize)
	for range b.N {
		ffplacement.Order("8700@0123456789ab", vms)
	}
}

func BenchmarkReaders(b *testing.B) {
	vms := vmsOf(dataCentreSize)
	for range b.N {
		ffplacement.FavouredReaders(vms, "palermo", ffplacement.ReaderCount, 0.03)
	}
}

func BenchmarkReadersOfWholeFleet(b *testing.B) {
	vms := vmsOf(fleetSize)
	for range b.N {
		ffplacement.Readers(vms, "palermo", ffplacement.ReaderCount)
	}
}

func BenchmarkAllocator(b *testing.B) {
	vms := vmsOf(dataCentreSize)
	for range b.N {
		ffplacement.Allocator(vms, "porters-palermo", "palermo")
	}
}
