// Package membership describes the VMs that a daemon knows of. A View is
// immutable; the control goroutine replaces it when the VM list changes.
package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// Server is a backend server with its sidecar.
type Server struct {
	Name             string
	Address          string // rpc address of the sidecar
	AvailabilityZone string
	Group            string
	Leaving          bool
}

// Router is a router on an entry VM.
type Router struct {
	Name             string
	Address          string // rpc address
	AvailabilityZone string
	Leaving          bool
}

// View is what is known of the VMs at one time.
type View struct {
	Servers []Server // ordered by name
	Routers []Router // ordered by name
	byGroup map[string][]Server
	rings   map[string]*Ring
	source  []platform.VM // as listed
}

// NewView makes a View of listed VMs.
func NewView(vms []platform.VM) *View {
	view := &View{
		byGroup: make(map[string][]Server),
		rings:   make(map[string]*Ring),
		source:  vms,
	}
	ordered := slices.SortedFunc(slices.Values(vms), func(a, b platform.VM) int { return cmp.Compare(a.Name, b.Name) })
	for _, vm := range ordered {
		isLeaving := vm.State == platform.VMLeaving
		if vm.Group == platform.GroupRouters {
			view.Routers = append(view.Routers, Router{vm.Name, vm.Address, vm.AvailabilityZone, isLeaving})
			continue
		}
		server := Server{vm.Name, vm.Address, vm.AvailabilityZone, vm.Group, isLeaving}
		view.Servers = append(view.Servers, server)
		view.byGroup[vm.Group] = append(view.byGroup[vm.Group], server)
	}
	for group, servers := range view.byGroup {
		view.rings[group] = NewRing(servers)
	}
	return view
}

// Ring returns the consistent hash over a group's backend servers, or nil. Its
// indexes are those of Group.
func (v *View) Ring(group string) *Ring { return v.rings[group] }

// Group returns the backend servers of a group. The caller must not change it.
func (v *View) Group(name string) []Server { return v.byGroup[name] }

// HasServer says whether a backend server with that rpc address is listed.
func (v *View) HasServer(address string) bool {
	for i := range v.Servers {
		if v.Servers[i].Address == address {
			return true
		}
	}
	return false
}

// HasRouter says whether a router with that rpc address is listed.
func (v *View) HasRouter(address string) bool {
	for i := range v.Routers {
		if v.Routers[i].Address == address {
			return true
		}
	}
	return false
}

// MadeOf says whether the view was made of the same list, so that there is no need
// to make it again.
func (v *View) MadeOf(vms []platform.VM) bool { return slices.Equal(v.source, vms) }

// Equal says whether both views show the same VMs.
func (v *View) Equal(other *View) bool {
	return slices.Equal(v.Servers, other.Servers) && slices.Equal(v.Routers, other.Routers)
}

// RouterRank returns the position of the router in an order that differs from
// the order by name but is the same at all daemons. An unlisted router comes
// after all others.
func (v *View) RouterRank(address string) int {
	if !v.HasRouter(address) {
		return len(v.Routers)
	}
	own := xxhash.Sum64String(address)
	rank := 0
	for i := range v.Routers {
		if xxhash.Sum64String(v.Routers[i].Address) < own {
			rank++
		}
	}
	return rank
}
