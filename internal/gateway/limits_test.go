package gateway

import (
	"testing"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/deployment"
)

// Without a burst a workspace may use what its rate brings in a second, and not just 1, which is
// less than a request that counts tokens costs.
func TestRateWithoutBurst(t *testing.T) {
	for _, test := range []struct {
		rate  float64
		burst int64
		want  int64
	}{
		{130_345, 0, 130_345},
		{11, 0, 11},
		{11, 1, 1},
		{0.5, 0, 1},
		{2.5, 0, 2},
		{0, 3, 3},
	} {
		if got := limiterWorkspace(&deployment.Workspace{Rate: test.rate, Burst: test.burst}).Burst; got != test.want {
			t.Errorf("a rate of %v and a burst of %d allow %d at once, want %d", test.rate, test.burst, got, test.want)
		}
	}
}

// A rate below 1 is not cut to 0, which would refuse everything.
func TestRatesKeepTheirFraction(t *testing.T) {
	for _, test := range []struct {
		rate   float64
		whole  int64
		micros int64
	}{
		{0, 0, 0},
		{1e-9, 0, 1},
		{0.5, 0, 500_000},
		{1.3, 1, 300_000},
		{2.9999999, 3, 0},
		{130_345, 130_345, 0},
		{1e12, 1e12, 0},
	} {
		got := limiterWorkspace(&deployment.Workspace{Name: "w", Rate: test.rate, Burst: 2})
		if want := (config.Workspace{Name: "w", Rate: test.whole, RateMicros: test.micros, Burst: 2}); got != want {
			t.Errorf("a rate of %v is %+v, want %+v", test.rate, got, want)
		}
	}
}
