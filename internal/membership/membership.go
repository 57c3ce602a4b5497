// Package membership describes the VMs that a daemon knows. A View is immutable;
// the control goroutine replaces it when the VM list changes.
package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// Server is a backend server and its sidecar.
type Server struct {
	Name             string
	Address          string // RPC address of the sidecar
	AvailabilityZone string
	Group            string
	Leaving          bool
}

// Router is a router on an entry VM.
type Router struct {
	Name             string
	Address          string // RPC address
	AvailabilityZone string
	Leaving          bool
}

// View is the membership as of one VM list.
type View struct {
	Servers []Server // ordered by name
	Routers []Router // ordered by name
	byGroup map[string][]Server
	rings   map[string]*Ring
	listed  []platform.VM // the list that the view was built from
}

// NewView builds a View from the listed VMs.
func NewView(vms []platform.VM) *View {
	view := &View{
		byGroup: make(map[string][]Server),
		rings:   make(map[string]*Ring),
		listed:  vms,
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

// Ring returns the consistent-hash ring of a group, or nil if the group is
// empty. Its indexes are those of the slice that Group returns.
func (v *View) Ring(group string) *Ring { return v.rings[group] }

// Group returns the backend servers of a group, ordered by name. The caller
// must not modify them.
func (v *View) Group(name string) []Server { return v.byGroup[name] }

// HasServer reports whether a backend server with that RPC address is listed.
func (v *View) HasServer(address string) bool {
	for i := range v.Servers {
		if v.Servers[i].Address == address {
			return true
		}
	}
	return false
}

// HasRouter reports whether a router with that RPC address is listed.
func (v *View) HasRouter(address string) bool {
	for i := range v.Routers {
		if v.Routers[i].Address == address {
			return true
		}
	}
	return false
}

// BuiltFrom reports whether the view was built from an equal list and need not be
// rebuilt.
func (v *View) BuiltFrom(vms []platform.VM) bool { return slices.Equal(v.listed, vms) }

// Equal reports whether both views have the same servers and routers.
func (v *View) Equal(other *View) bool {
	return slices.Equal(v.Servers, other.Servers) && slices.Equal(v.Routers, other.Routers)
}

// RouterRank returns the rank of the router in an order that is the same at all
// daemons but differs from the order by name. An unlisted router ranks after
// all others.
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
