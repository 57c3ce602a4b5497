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

// change is an entry's new state, visible from a time on.
type change struct {
	visible time.Time
	vm      platform.VM
	removed bool
}

// List is a VM list in memory. It implements platform.VMList.
type List struct {
	*fault.Gate
	mu      sync.Mutex
	listed  map[string]platform.VM
	pending []change // in the order in which they were made
	lag     time.Duration
}

var _ platform.VMList = (*List)(nil)

// New returns an empty List without a lag.
func New() *List {
	return &List{
		Gate:   fault.NewGate(0),
		listed: make(map[string]platform.VM),
	}
}

// Set adds or replaces a VM.
func (l *List) Set(vm platform.VM) {
	l.add(change{vm: vm})
}

// Remove takes a VM off the list.
func (l *List) Remove(name string) {
	l.add(change{vm: platform.VM{Name: name}, removed: true})
}

// SetLag sets the lag of the changes that follow.
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

// VMs implements platform.VMList. The VMs are ordered by name.
func (l *List) VMs(ctx context.Context) ([]platform.VM, error) {
	if err := l.Enter(ctx); err != nil {
		return nil, errors.Wrap(err, "VM list")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(time.Now())
	byName := func(a, b platform.VM) int { return cmp.Compare(a.Name, b.Name) }
	return slices.SortedFunc(maps.Values(l.listed), byName), nil
}

// add makes a change that becomes visible after the lag, and not before the
// changes made earlier.
func (l *List) add(made change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	made.visible = time.Now().Add(l.lag)
	if n := len(l.pending); n > 0 && made.visible.Before(l.pending[n-1].visible) {
		made.visible = l.pending[n-1].visible
	}
	l.pending = append(l.pending, made)
}

// settle makes the changes visible whose time has come.
func (l *List) settle(now time.Time) {
	for len(l.pending) > 0 && !now.Before(l.pending[0].visible) {
		next := l.pending[0]
		l.pending = l.pending[1:]
		if next.removed {
			delete(l.listed, next.vm.Name)
			continue
		}
		l.listed[next.vm.Name] = next.vm
	}
}
