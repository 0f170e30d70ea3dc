package ffdistribution

import (
	"sync"
	"sync/atomic"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// Members holds the view of all VMs. The zero value holds an empty view.
type Members struct {
	// Audit records membership changes caused by evidence; optional.
	Audit Auditor

	mu   sync.Mutex
	view atomic.Pointer[ffmember.View]
}

var emptyView ffmember.View

// View returns the current view.
func (m *Members) View() *ffmember.View {
	if v := m.view.Load(); v != nil {
		return v
	}
	return &emptyView
}

// ApplyList replaces the VM list if l is newer, and reports whether it was.
func (m *Members) ApplyList(l *ffmember.List) bool {
	return m.update(func(v *ffmember.View) *ffmember.View { return v.WithList(l) })
}

// MergeEvidence merges evidence into the view and returns the items that changed it.
func (m *Members) MergeEvidence(now time.Time, all ...ffmember.Evidence) []ffmember.Evidence {
	var fresh []ffmember.Evidence
	m.update(func(v *ffmember.View) *ffmember.View {
		for _, e := range all {
			next := v.WithEvidence(now, e)
			if next != v {
				fresh = append(fresh, e)
				m.audit(v, e)
			}
			v = next
		}
		return v
	})
	return fresh
}

// MarkSuspect marks a VM that did not answer, so that it is skipped until the given time.
func (m *Members) MarkSuspect(name string, until time.Time) {
	m.update(func(v *ffmember.View) *ffmember.View { return v.WithSuspect(name, until) })
}

// ClearSuspect removes the suspect mark of a VM that answered.
func (m *Members) ClearSuspect(name string) {
	if !m.View().IsSuspect(name) {
		return
	}
	m.update(func(v *ffmember.View) *ffmember.View { return v.WithoutSuspect(name) })
}

// RemoveExpired removes evidence and suspect marks that have expired at now.
func (m *Members) RemoveExpired(now time.Time) {
	m.update(func(v *ffmember.View) *ffmember.View { return v.WithoutExpired(now) })
}

func (m *Members) update(change func(*ffmember.View) *ffmember.View) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.View()
	next := change(old)
	if next == old {
		return false
	}
	m.view.Store(next)
	return true
}

func (m *Members) audit(before *ffmember.View, e ffmember.Evidence) {
	if m.Audit == nil {
		return
	}
	known, ok := before.VM(e.VM.Name)
	if ok && known.State == e.State && before.Incarnation(e.VM.Name) == e.Incarnation {
		return
	}
	m.Audit.Record(ffaudit.Event{Kind: ffaudit.KindMemberChanged, Subject: e.VM.Name, Detail: e.State.String()})
}

// ClearEvidence removes all evidence, so that only the VM list applies until new evidence
// arrives.
func (m *Members) ClearEvidence() {
	m.update(func(v *ffmember.View) *ffmember.View { return v.WithoutEvidence() })
}
