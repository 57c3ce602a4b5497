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
		{"owner does not respond", tableOf(1, "gone"), "badges", 1, verdict.CodeStoreUnavailable},
		{"fresh process has no tokens", tableOf(1, "a"), "badges", 1, verdict.CodeRateLimited},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newCluster([]string{"a"}, snapshotOf(c.table, badges))
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
	x := newCluster([]string{"a", "b", "c"}, snapshotOf(tableOf(1, "a", "b", "c"), badges))
	x.advance(4 * time.Second)
	grant, err := x.peers["a"].Acquire(context.Background(), "badges", 60_000, "r1")
	if err != nil {
		t.Fatal(err)
	}
	if len(grant.Draws()) != 3 {
		t.Errorf("%d draws, want one per owner", len(grant.Draws()))
	}
	_, err = x.peers["b"].Acquire(context.Background(), "badges", 1, "r2")
	wantCode(t, err, verdict.CodeRateLimited)
	if e := verdict.From(err); e.RetryAfter <= 0 || e.RetryAfter > time.Second {
		t.Errorf("retry after %v for one token, want above 0 and at most 1 s", e.RetryAfter)
	}
}

// A new revision of the document must not raise a bucket's level at once.
func TestDocumentChanges(t *testing.T) {
	cases := []struct {
		name   string
		change []config.Workspace
		most   int64
		least  int64
	}{
		{"same limits", []config.Workspace{badges}, 40_000, 40_000},
		{"higher burst", []config.Workspace{{Name: "badges", Rate: 20_000, Burst: 90_000}}, 40_000, 40_000},
		{"burst below the level", []config.Workspace{{Name: "badges", Rate: 20_000, Burst: 10_000}}, 10_000, 10_000},
		{"higher rate", []config.Workspace{{Name: "badges", Rate: 90_000, Burst: 60_000}}, 40_000, 40_000},
		{"workspace removed and back", nil, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := tableOf(1, "a")
				x := newCluster([]string{"a"}, snapshotOf(table, badges))
				x.advance(2 * time.Second)
				l := x.peers["a"]
				x.sources["a"].Publish(snapshotOf(table, c.change...))
				l.current()
				if c.change == nil {
					x.sources["a"].Publish(snapshotOf(table, badges))
					l.current()
				}
				if level := l.spendableTokens(t); level > c.most || level < c.least {
					t.Errorf("%d tokens, want %d to %d", level, c.least, c.most)
				}
			})
		})
	}
}
