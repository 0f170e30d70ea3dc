package ffstand

import (
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// PlatformSettings configure a Platform.
type PlatformSettings struct {
	// MaxCallsPerSecond is the rate above which requests are refused; zero allows all.
	MaxCallsPerSecond uint64
	// Now returns the current time; time.Now when nil.
	Now func() time.Time
}

// Platform is a test double of the platform. It serves published values and a
// delayed list of VMs to readers. The zero value serves nothing and has no rate
// limit.
type Platform struct {
	now func() time.Time

	mu       sync.Mutex
	meter    rateMeter
	current  platformState
	history  []platformState
	lag      time.Duration
	fault    Fault
	stale    platformState
	requests uint64
	changed  chan struct{}
}

// NewPlatform returns a platform that has published nothing.
func NewPlatform(settings PlatformSettings) *Platform {
	return &Platform{now: settings.Now, meter: rateMeter{limit: settings.MaxCallsPerSecond}}
}

// Publish stores contents under their keys in one step. If any value exceeds
// MaxValueBytes, none is stored.
func (p *Platform) Publish(contents map[string][]byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, err := p.current.withValues(contents)
	if err != nil {
		return err
	}
	p.replace(next)
	return nil
}

// Remove deletes the value of key.
func (p *Platform) Remove(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replace(p.current.withoutValue(key))
}

// SetVMs publishes the list of VMs, which readers see after the lag.
func (p *Platform) SetVMs(vms []ffmember.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setVMs(slices.Clone(vms))
}

// PutVM adds a VM to the list, or replaces the one of the same name.
func (p *Platform) PutVM(vm ffmember.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := slices.Clone(p.current.latestVMs())
	i := indexOfVM(vms, vm.Name)
	if i < 0 {
		vms = append(vms, vm)
	} else {
		vms[i] = vm
	}
	p.setVMs(vms)
}

// SetVMState changes the state of one VM in the list.
func (p *Platform) SetVMState(name string, state ffmember.State) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := slices.Clone(p.current.latestVMs())
	i := indexOfVM(vms, name)
	if i < 0 {
		return &Error{Op: "set VM state", Kind: KindNotFound, Err: merry.Errorf("VM %q does not exist", name)}
	}
	vms[i].State = state
	p.setVMs(vms)
	return nil
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := slices.DeleteFunc(slices.Clone(p.current.latestVMs()), func(vm ffmember.VM) bool { return vm.Name == name })
	p.setVMs(vms)
}

// SetVMLag sets how long later changes of the VM list stay hidden from readers.
func (p *Platform) SetVMLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = max(0, lag)
}

// SetFault replaces the fault of the platform; the zero Fault ends it.
func (p *Platform) SetFault(f Fault) error {
	if err := f.validate(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.stale = p.stateBefore(f.PublicationsBack)
	p.requests = 0
	p.notify()
	return nil
}

// Counters returns the counters since the last reset.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meter.snapshot(p.time())
}

// ResetCounters sets the counters to zero, except for the waiting watches.
func (p *Platform) ResetCounters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meter.reset(p.time())
}

func (p *Platform) time() time.Time {
	if p.now == nil {
		return time.Now()
	}
	return p.now()
}

func (p *Platform) setVMs(vms []ffmember.VM) {
	now := p.time()
	p.replace(p.current.withVMs(vms, now, now.Add(p.lag)))
}

// replace makes next the current state and notifies the waiting watches.
func (p *Platform) replace(next platformState) {
	p.history = append(p.history, p.current)
	if len(p.history) > historyCapacity {
		p.history = slices.Delete(p.history, 0, 1)
	}
	p.current = next
	p.notify()
}

// stateBefore returns the state before the last back publications, or the oldest
// one in the history.
func (p *Platform) stateBefore(back int) platformState {
	if back == 0 || len(p.history) == 0 {
		return p.current
	}
	return p.history[max(0, len(p.history)-back)]
}

// notify makes every waiting watch check the state again.
func (p *Platform) notify() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

func indexOfVM(vms []ffmember.VM, name string) int {
	return slices.IndexFunc(vms, func(vm ffmember.VM) bool { return vm.Name == name })
}
