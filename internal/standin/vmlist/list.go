// Package vmlist is a stand-in for the platform's VM list, whose changes become
// visible after a lag.
package vmlist

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/fault"
)

// change is an entry's new state and the time from which it is visible.
type change struct {
	visibleAt time.Time
	vm        platform.VM
	removed   bool
}

// List is a VM list in memory. It implements platform.VMList.
type List struct {
	*fault.Gate
	mu      sync.Mutex
	visible map[string]platform.VM
	pending []change // in the order in which they were made
	lag     time.Duration
}

var _ platform.VMList = (*List)(nil)

// New returns an empty List without a lag.
func New() *List {
	return &List{
		Gate:    fault.NewGate(0),
		visible: make(map[string]platform.VM),
	}
}

// Set adds or replaces a VM.
func (l *List) Set(vm platform.VM) {
	l.add(change{vm: vm})
}

// Remove removes a VM from the list.
func (l *List) Remove(name string) {
	l.add(change{vm: platform.VM{Name: name}, removed: true})
}

// SetLag sets the lag of later changes.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown makes all calls fail with ErrUnavailable.
func (l *List) SetDown(down bool) {
	faults := l.Faults()
	faults.Down = down
	l.SetFaults(faults)
}

// VMs implements platform.VMList. The VMs are sorted by name.
func (l *List) VMs(ctx context.Context) ([]platform.VM, error) {
	if err := l.Enter(ctx); err != nil {
		return nil, errors.Wrap(err, "VM list")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue(time.Now())
	byName := func(a, b platform.VM) int { return cmp.Compare(a.Name, b.Name) }
	return slices.SortedFunc(maps.Values(l.visible), byName), nil
}

// add queues a change that becomes visible after the lag, but not before
// earlier changes.
func (l *List) add(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.visibleAt = time.Now().Add(l.lag)
	if n := len(l.pending); n > 0 && c.visibleAt.Before(l.pending[n-1].visibleAt) {
		c.visibleAt = l.pending[n-1].visibleAt
	}
	l.pending = append(l.pending, c)
}

// applyDue applies the pending changes that are visible by now.
func (l *List) applyDue(now time.Time) {
	for len(l.pending) > 0 && !now.Before(l.pending[0].visibleAt) {
		next := l.pending[0]
		l.pending = l.pending[1:]
		if next.removed {
			delete(l.visible, next.vm.Name)
			continue
		}
		l.visible[next.vm.Name] = next.vm
	}
}
