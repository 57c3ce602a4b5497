package route

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
)

// New returns a Filter with the policy that the settings name.
func New(settings *config.Settings, source control.Source, tracker *Tracker, index Index) (*Filter, error) {
	policy, err := newPolicy(settings.Router.Policy)
	if err != nil {
		return nil, err
	}
	f := &Filter{
		zone:    settings.Daemon.AvailabilityZone,
		source:  source,
		policy:  policy,
		tracker: tracker,
		index:   index,
		started: time.Now(),
		warm:    make(chan struct{}),
	}
	f.countCache.counts = make(map[*config.Model]versionCounts)
	f.scratchPool.New = func() any { return &scratch{} }
	return f, nil
}
