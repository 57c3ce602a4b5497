// Package weights is a stand-in for the platform's rate-limited store of model
// weights.
package weights

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
	"github.com/wasabigate/wasabigate/internal/standin/fault"
	"github.com/wasabigate/wasabigate/internal/standin/web"
)

// PathAdd is the admin path that adds weights.
const PathAdd = "/admin/weights/add" // POST platform.Weights

// Store is a weight store in memory. It implements platform.WeightStore.
type Store struct {
	*fault.Gate
	mu      sync.Mutex
	weights []platform.Weights // in the order in which they were added
}

var _ platform.WeightStore = (*Store)(nil)

// New returns a Store with the given weights.
func New(initial ...platform.Weights) *Store {
	return &Store{Gate: fault.NewGate(0), weights: slices.Clone(initial)}
}

// Add adds weights, unless the store already has them.
func (s *Store) Add(weights platform.Weights) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.weights, weights) {
		s.weights = append(s.weights, weights)
	}
}

// Versions implements platform.WeightStore. The oldest weights come first.
func (s *Store) Versions(ctx context.Context, model string) ([]platform.Weights, error) {
	if err := s.Enter(ctx); err != nil {
		return nil, errors.Wrap(err, "weight store")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []platform.Weights
	for _, weights := range s.weights {
		if weights.Model == model {
			found = append(found, weights)
		}
	}
	if len(found) == 0 {
		return nil, errors.Wrapf(platform.ErrNotFound, "weights of model %q", model)
	}
	return found, nil
}

// Handler serves s over HTTP, with its admin endpoint.
func Handler(s *Store) http.Handler {
	e := web.New()
	e.GET(httpapi.PathWeights, func(c echo.Context) error {
		found, err := s.Versions(c.Request().Context(), c.QueryParam(httpapi.QueryModel))
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, httpapi.Versions{Weights: found})
	})
	e.POST(PathAdd, web.Post(func(_ echo.Context, weights platform.Weights) (httpapi.Done, error) {
		s.Add(weights)
		return httpapi.Done{}, nil
	}))
	web.AddAdmin(e, s)
	return e
}

// Command returns the command that runs the stand-in.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "weight-store",
		Usage: "run the weight store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "address to listen on", Required: true},
			&cli.StringSliceFlag{Name: "weights", Usage: "weights in the store, as MODEL:VERSION or MODEL:VERSION:ADAPTER"},
			&cli.IntFlag{Name: "per-second", Usage: "limit of calls per second; 0: unlimited"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			store := New()
			for _, text := range cmd.StringSlice("weights") {
				weights, err := parse(text)
				if err != nil {
					return err
				}
				store.Add(weights)
			}
			store.SetFaults(fault.Faults{PerSecond: cmd.Int("per-second")})
			return web.Serve(ctx, "weight-store", cmd.String("listen"), Handler(store))
		},
	}
}

// parse parses MODEL:VERSION or MODEL:VERSION:ADAPTER.
func parse(text string) (platform.Weights, error) {
	parts := strings.Split(text, ":")
	if len(parts) < 2 || len(parts) > 3 || parts[0] == "" || parts[1] == "" {
		return platform.Weights{}, errors.Errorf("weights %q: want MODEL:VERSION or MODEL:VERSION:ADAPTER", text)
	}
	weights := platform.Weights{Model: parts[0], Version: parts[1]}
	if len(parts) == 3 {
		weights.Adapter = parts[2]
	}
	return weights, nil
}
