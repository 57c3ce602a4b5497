package deployment

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Sharing tells under which name workspaces share KV cache. Engines may hold what a workspace made
// before it was isolated, so that a name is given up when one is isolated, and never used again.
type Sharing struct {
	Since    uint64 `json:"since"`    // version of the last configuration that isolated a workspace; 0: none did
	Isolated string `json:"isolated"` // names the set of isolated workspaces; empty: there are none
	Version  uint64 `json:"version"`  // of the configuration that has this set
}

// IsolatedWorkspaces returns the names of the isolated workspaces.
func (c *Config) IsolatedWorkspaces() map[string]struct{} {
	isolated := make(map[string]struct{})
	for i := range c.Workspaces {
		if c.Workspaces[i].Isolated {
			isolated[c.Workspaces[i].Name] = struct{}{}
		}
	}
	return isolated
}

// NameOfSet returns a text that differs for each set of workspaces. It is empty for no workspaces.
func NameOfSet(workspaces map[string]struct{}) string {
	if len(workspaces) == 0 {
		return ""
	}
	var quoted []string
	for _, name := range slices.Sorted(maps.Keys(workspaces)) {
		quoted = append(quoted, strconv.Quote(name))
	}
	return "-" + strconv.FormatUint(xxhash.Sum64String(strings.Join(quoted, ",")), 36)
}

// SharedSince returns the configuration with the SharingGroup that is used if the last workspace was
// isolated by the configuration of version since; 0: none was.
func (c *Config) SharedSince(since uint64) *Config {
	// Gateways whose configurations isolate different sets differ before they agree on since.
	group := NameOfSet(c.IsolatedWorkspaces())
	if since > 0 {
		group += "." + strconv.FormatUint(since, 36)
	}
	if group == c.SharingGroup {
		return c
	}
	changed := *c
	changed.SharingGroup = group
	return &changed
}
