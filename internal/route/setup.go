package route

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
)

// New returns the filter with the policy that the settings name.
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
	f.shares.counts = make(map[*config.Model]share)
	f.spaces.New = func() any { return &space{} }
	return f, nil
}
