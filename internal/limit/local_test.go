package limit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/shard"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var badges = config.Workspace{Name: "badges", Rate: 20_000, Burst: 60_000}

func TestAcquireRefuses(t *testing.T) {
	cases := []struct {
		name      string
		table     *shard.Table
		workspace string
		cost      int64
		code      verdict.Code
	}{
		{"unknown workspace", tableOf(1, "a"), "roofs", 1, verdict.CodeForbidden},
		{"cost above burst", tableOf(1, "a"), "badges", 60_001, verdict.CodeCostAboveBurst},
		{"no table", nil, "badges", 1, verdict.CodeStoreUnavailable},
		{"no owner", &shard.Table{Epoch: 1}, "badges", 1, verdict.CodeStoreUnavailable},
		{"owner does not answer", tableOf(1, "gone"), "badges", 1, verdict.CodeStoreUnavailable},
		{"fresh process has no tokens", tableOf(1, "a"), "badges", 1, verdict.CodeRateLimited},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newTester([]string{"a"}, snapshotOf(c.table, badges))
				_, err := x.peers["a"].Acquire(context.Background(), c.workspace, c.cost, "r1")
				wantCode(t, err, c.code)
			})
		})
	}
}

func TestAcquireTakesFromPeers(t *testing.T) {
	synctest.Test(t, testAcquireTakesFromPeers)
}

func testAcquireTakesFromPeers(t *testing.T) {
	x := newTester([]string{"a", "b", "c"}, snapshotOf(tableOf(1, "a", "b", "c"), badges))
	x.advance(4 * time.Second)
	grant, err := x.peers["a"].Acquire(context.Background(), "badges", 60_000, "r1")
	if err != nil {
		t.Fatal(err)
	}
	if len(grant.Draws()) != 3 {
		t.Errorf("%d draws, want one an owner", len(grant.Draws()))
	}
	_, err = x.peers["b"].Acquire(context.Background(), "badges", 1, "r2")
	wantCode(t, err, verdict.CodeRateLimited)
	if e := verdict.From(err); e.RetryAfter <= 0 || e.RetryAfter > time.Second {
		t.Errorf("retry after %v for one token", e.RetryAfter)
	}
}
