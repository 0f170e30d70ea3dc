package ffmember

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of hash buckets by which two daemons compare their lists.
const BucketCount = 256

// List is the platform's list of VMs at one revision, immutable. Lists are
// totally ordered: by revision, then by digest. The zero value is the empty
// list, older than every other.
type List struct {
	revision uint64
	digest   uint64
	byName   map[string]VM
	buckets  [BucketCount]uint64
	inBucket [BucketCount][]VM

	once   sync.Once
	groups groups
}

// NewList returns the list of vms at a revision. If a name occurs twice, the last VM is kept.
func NewList(revision uint64, vms []VM) *List {
	l := &List{revision: revision, byName: make(map[string]VM, len(vms))}
	for _, vm := range vms {
		l.byName[vm.Name] = vm
	}
	l.computeDigests()
	return l
}

// computeDigests fills the buckets and computes their hashes and the digest of the list.
func (l *List) computeDigests() {
	for _, vm := range l.byName {
		b := bucketOf(vm.Name)
		l.buckets[b] += hashVM(vm)
		l.inBucket[b] = append(l.inBucket[b], vm)
	}
	for i, b := range l.buckets {
		l.digest += hashPair(uint64(i), b)
	}
}

// Revision returns the platform's revision of the list.
func (l *List) Revision() uint64 { return l.revision }

// Digest returns a hash of the entries.
func (l *List) Digest() uint64 { return l.digest }

// Len returns the number of entries.
func (l *List) Len() int { return len(l.byName) }

// NewerThan reports whether l is newer than other in the total order of lists.
func (l *List) NewerThan(other *List) bool {
	return cmp.Or(cmp.Compare(l.revision, other.revision), cmp.Compare(l.digest, other.digest)) > 0
}

// VM returns the entry with this name.
func (l *List) VM(name string) (VM, bool) {
	vm, ok := l.byName[name]
	return vm, ok
}

// BucketDigests returns a hash for each bucket of entries.
func (l *List) BucketDigests() []uint64 { return slices.Clone(l.buckets[:]) }

// DifferingBuckets returns the indexes of the buckets whose hash differs from the given
// one or has none.
func (l *List) DifferingBuckets(digests []uint64) []int {
	var differing []int
	for i, b := range l.buckets {
		if i >= len(digests) || digests[i] != b {
			differing = append(differing, i)
		}
	}
	return differing
}

// InBuckets returns the entries of the given buckets.
func (l *List) InBuckets(buckets []int) []VM {
	var vms []VM
	for _, b := range buckets {
		vms = append(vms, l.inBucket[b]...)
	}
	return vms
}

// WithBuckets returns the list at a revision with the entries of the given buckets
// replaced by vms.
func (l *List) WithBuckets(revision uint64, buckets []int, vms []VM) *List {
	var replaced [BucketCount]bool
	for _, b := range buckets {
		if b >= 0 && b < BucketCount {
			replaced[b] = true
		}
	}
	kept := make([]VM, 0, len(l.byName)+len(vms))
	for b, entries := range l.inBucket {
		if !replaced[b] {
			kept = append(kept, entries...)
		}
	}
	return NewList(revision, append(kept, vms...))
}

// liveGroups returns the groups of the live entries, computed once.
func (l *List) liveGroups() *groups {
	l.once.Do(func() { l.groups = groupsOf(slices.Collect(maps.Values(l.byName))) })
	return &l.groups
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % BucketCount) }

func hashVM(vm VM) uint64 {
	h := xxhash.New()
	for _, field := range []string{vm.Name, vm.DataCentre, vm.Service, vm.PeerAddress, vm.ForwardAddress, vm.OperatorAddress, strconv.Itoa(int(vm.State))} {
		_, _ = h.WriteString(field)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

func hashPair(a, b uint64) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(a, 16) + ":" + strconv.FormatUint(b, 16))
}

// OlderThan reports whether l is older than a list with this revision and digest.
func (l *List) OlderThan(revision, digest uint64) bool {
	return cmp.Or(cmp.Compare(revision, l.revision), cmp.Compare(digest, l.digest)) > 0
}
