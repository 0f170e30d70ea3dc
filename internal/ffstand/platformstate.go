package ffstand

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// MaxValueBytes is the maximum size of one value of the platform.
const MaxValueBytes = 1 << 20

// historyCapacity is the number of earlier states kept for a stale or flapping
// platform.
const historyCapacity = 16

// value is one published value.
type value struct {
	revision uint64
	content  []byte
}

// vmList is one state of the VM list, which readers see from visibleAt.
type vmList struct {
	revision  uint64
	visibleAt time.Time
	vms       []ffmember.VM
	// content is the encoded list.
	content []byte
}

// platformState is everything published at one moment. It is immutable.
type platformState struct {
	revision uint64
	values   map[string]value
	// lists holds the VM lists in order of publication.
	lists []vmList
}

// withValues returns s with the contents published under their keys; a value
// whose content is unchanged keeps its revision.
func (s platformState) withValues(contents map[string][]byte) (platformState, error) {
	next := s
	next.revision++
	next.values = maps.Clone(s.values)
	if next.values == nil {
		next.values = make(map[string]value, len(contents))
	}
	for key, content := range contents {
		if len(content) > MaxValueBytes {
			return s, &Error{Op: "publish", Kind: KindTooLarge, Err: merry.Errorf("value %q has %d bytes, at most %d are allowed", key, len(content), MaxValueBytes)}
		}
		old, ok := s.values[key]
		if ok && bytes.Equal(old.content, content) {
			continue
		}
		next.values[key] = value{revision: next.revision, content: bytes.Clone(content)}
	}
	return next, nil
}

// withoutValue returns s without the value under key.
func (s platformState) withoutValue(key string) platformState {
	next := s
	next.revision++
	next.values = maps.Clone(s.values)
	delete(next.values, key)
	return next
}

// withVMs returns s with a VM list that readers see from visibleAt. It drops the
// lists before the one that readers see at now.
func (s platformState) withVMs(vms []ffmember.VM, now, visibleAt time.Time) platformState {
	next := s
	next.revision++
	list := vmList{revision: next.revision, visibleAt: visibleAt, vms: vms, content: encodeVMs(vms)}
	next.lists = append(slices.Clone(s.lists[max(0, s.visible(now)):]), list)
	return next
}

func encodeVMs(vms []ffmember.VM) []byte {
	if vms == nil {
		return []byte("[]")
	}
	content, err := json.Marshal(vms)
	if err != nil {
		panic(err)
	}
	return content
}

// latestVMs returns the VM list published last.
func (s platformState) latestVMs() []ffmember.VM {
	if len(s.lists) == 0 {
		return nil
	}
	return s.lists[len(s.lists)-1].vms
}

// visible returns the index of the VM list that readers see at now, or -1 if
// there is none.
func (s platformState) visible(now time.Time) int {
	for i := len(s.lists) - 1; i >= 0; i-- {
		if !s.lists[i].visibleAt.After(now) {
			return i
		}
	}
	return -1
}

// visibleList returns the VM list that readers see at now, and when the next one
// becomes visible (zero if there is none).
func (s platformState) visibleList(now time.Time) (vmList, time.Time) {
	i := s.visible(now)
	var list vmList
	if i >= 0 {
		list = s.lists[i]
	}
	var next time.Time
	for _, l := range s.lists[i+1:] {
		if next.IsZero() || l.visibleAt.Before(next) {
			next = l.visibleAt
		}
	}
	return list, next
}
