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
	// Audit receives what evidence changed; nothing when nil.
	Audit Auditor

	mu   sync.Mutex
	view atomic.Pointer[ffmember.View]
}

var emptyView ffmember.View

// View returns the view of this moment.
func (m *Members) View() *ffmember.View {
	if v := m.view.Load(); v != nil {
		return v
	}
	return &emptyView
}

// ApplyList takes the list when it is newer than the known one, and reports whether it was.
func (m *Members) ApplyList(l *ffmember.List) bool {
	return m.update(func(v *ffmember.View) *ffmember.View { return v.WithList(l) })
}

// Learn merges evidence and returns those of it that told something new.
func (m *Members) Learn(now time.Time, all ...ffmember.Evidence) []ffmember.Evidence {
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

// Suspect passes over a VM that did not answer, until the time given.
func (m *Members) Suspect(name string, until time.Time) {
	m.update(func(v *ffmember.View) *ffmember.View { return v.WithSuspect(name, until) })
}

// Answered takes a VM that answered back.
func (m *Members) Answered(name string) {
	if !m.View().Suspect(name) {
		return
	}
	m.update(func(v *ffmember.View) *ffmember.View { return v.WithoutSuspect(name) })
}

// Expire drops what has expired at now.
func (m *Members) Expire(now time.Time) {
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

// Forget drops all evidence, so that the list alone counts until new evidence comes.
func (m *Members) Forget() {
	m.update(func(v *ffmember.View) *ffmember.View { return v.WithoutEvidence() })
}
