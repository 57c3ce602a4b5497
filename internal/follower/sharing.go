package follower

import (
	"encoding/json"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// SharingKey is the key of what gateways keep of the isolation of workspaces, so that a name under
// which workspaces shared KV cache is not used again after all gateways have started again.
const SharingKey = KeyPrefix + "sharing"

// sharing tells under which name workspaces share KV cache.
type sharing struct {
	known    deployment.Sharing  // Version 0: no configuration was looked at
	isolated map[string]struct{} // workspaces, by the configuration of known.Version
	config   *deployment.Config  // that update returned last
	entry    platform.Entry      // of SharingKey; Version 0: there is none
	stored   deployment.Sharing  // what entry holds
}

// apply applies an entry, or its removal. What is known of isolation stays.
func (s *sharing) apply(entry platform.Entry) {
	s.entry, s.stored = entry, deployment.Sharing{}
	if entry.Version == 0 {
		return
	}
	if err := json.Unmarshal(entry.Value, &s.stored); err != nil {
		logger.Warn(fields{"key": entry.Key, "revision": entry.Version.Revision(), "error": err.Error()}, "entry not decoded")
		s.stored = deployment.Sharing{}
	}
}

// update looks at a configuration, and returns it with the name under which its workspaces share.
func (s *sharing) update(config *deployment.Config, position platform.Version) *deployment.Config {
	if position == 0 {
		// The store's entry was not read yet, and may rule out the name of the present set. No earlier
		// configuration had this one.
		return config.SharedSince(config.Version)
	}
	if config == s.config && s.known.Since >= s.stored.Since {
		return config
	}
	former := s.known.Since
	s.known.Since = max(s.known.Since, s.stored.Since)
	if config.Version != s.known.Version {
		isolated := config.IsolatedWorkspaces()
		if s.isNewlyIsolated(isolated) {
			s.known.Since = max(s.known.Since, config.Version)
		}
		s.isolated, s.known.Isolated, s.known.Version = isolated, deployment.NameOfSet(isolated), config.Version
	}
	if s.known.Since != former {
		logger.Info(fields{"since": s.known.Since, logging.FieldConfigVersion: config.Version}, "KV cache is shared under another name")
	}
	s.config = config.SharedSince(s.known.Since)
	return s.config
}

// isNewlyIsolated reports whether the workspaces that a configuration isolates may have one that
// was not isolated before.
func (s *sharing) isNewlyIsolated(isolated map[string]struct{}) bool {
	if s.known.Version == 0 {
		return len(isolated) > 0 && deployment.NameOfSet(isolated) != s.stored.Isolated
	}
	for name := range isolated {
		if _, ok := s.isolated[name]; !ok {
			return true
		}
	}
	return false
}

// toStore returns what the store's entry is to hold, and whether it holds something else.
func (s *sharing) toStore() (deployment.Sharing, bool) {
	wanted := s.known
	if s.stored.Version > wanted.Version {
		wanted.Isolated, wanted.Version = s.stored.Isolated, s.stored.Version
	}
	wanted.Since = max(wanted.Since, s.stored.Since)
	return wanted, wanted.Since != s.stored.Since || wanted.Isolated != s.stored.Isolated
}
