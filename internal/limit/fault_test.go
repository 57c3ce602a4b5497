package limit

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// slowNetwork delays debits and the responses to them.
type slowNetwork struct {
	network
	requestDelay  time.Duration
	responseDelay time.Duration
}

func (s *slowNetwork) Debit(ctx context.Context, address string, req *wire.DebitRequest) (*wire.DebitReply, error) {
	time.Sleep(s.requestDelay)
	reply, err := s.network.Debit(ctx, address, req)
	time.Sleep(s.responseDelay)
	return reply, err
}

func TestLateDebitResponseIsDiscarded(t *testing.T) {
	for _, c := range []struct {
		delay   time.Duration
		granted bool
	}{{callTimeout, true}, {callTimeout + time.Millisecond, false}} {
		synctest.Test(t, func(t *testing.T) {
			x := newCluster([]string{"a", "b"}, snapshotOf(tableOf(1, "b"), badges))
			x.advance(4 * time.Second)
			x.peers["a"].peers = &slowNetwork{network: x.peers, responseDelay: c.delay}
			_, err := x.peers["a"].Acquire(context.Background(), "badges", 100, "r1")
			if granted := err == nil; granted != c.granted {
				t.Errorf("response after %v: granted %v, want %v", c.delay, granted, c.granted)
			}
		})
	}
}

func TestReleaseTakesTokensAndShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCluster([]string{"a"}, snapshotOf(tableOf(1, "a"), badges))
		x.advance(1600 * time.Millisecond)
		levels := x.peers["a"].Release(1, []int{32, 33, 34, 35, 36, 37, 38, 39, 40, 41, 42, 43, 44, 45, 46, 47})
		b := x.peers["a"].state.Load().buckets["badges"]
		if levels["badges"] != 8_000 || b.level != 24_000 {
			t.Errorf("released %d tokens and kept %d of 32000, want 8000 and 24000", levels["badges"], b.level)
		}
		x.advance(time.Minute)
		if tokens := x.peers["a"].spendableTokens(t); tokens >= 46_000 {
			t.Errorf("%d tokens in 48 of 64 shards, want fewer than 46000", tokens)
		}
		x.peers["a"].Restore([]int{32, 33})
		if tokens := x.peers["a"].spendableTokens(t); tokens >= 46_000 {
			t.Errorf("%d tokens right after shards were restored, want fewer than 46000", tokens)
		}
	})
}

// spendableTokens returns how many tokens a request can draw from this router alone.
func (l *Local) spendableTokens(t *testing.T) int64 {
	t.Helper()
	b := l.state.Load().buckets["badges"]
	taken, _ := b.takeUpTo(l.pauseGuard.now().refill, badges.Burst)
	b.credit(l.pauseGuard.now().refill, taken.tokens, taken.mark)
	return taken.tokens
}

func TestConfirmNeedsAViewAfterThePause(t *testing.T) {
	cases := []struct {
		name string
		seen time.Duration // of the view, after the pause was noticed
		at   time.Duration // of Confirm
		ends bool
	}{
		{"view before the pause", -time.Minute, time.Second, false},
		{"view during the pause", -time.Second, time.Second, false},
		{"view after the pause", time.Second, 2 * time.Second, true},
		{"another pause in between", time.Second, 2*time.Second + maxConfirmAge, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newCluster([]string{"a"}, snapshotOf(tableOf(1, "a"), badges))
				x.advance(time.Second)
				time.Sleep(30 * time.Second)
				l := x.peers["a"]
				_, err := l.Acquire(context.Background(), "badges", 1, "r1")
				wantCode(t, err, verdict.CodeRateLimited)
				seen := time.Now().Add(c.seen)
				time.Sleep(c.at)
				l.Confirm(seen)
				if ends := !l.Suspended(); ends != c.ends {
					t.Errorf("suspension ends: %v, want %v", ends, c.ends)
				}
				if tokens := l.spendableTokens(t); tokens > 20_000 {
					t.Errorf("%d tokens: the pause was refilled", tokens)
				}
			})
		})
	}
}

// Two requests that each need more than half of all tokens must not both be refused
// because each holds tokens that the other one needs.
func TestOneOfTwoLargeRequestsIsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCluster([]string{"a", "b"}, snapshotOf(tableOf(1, "a", "b"), badges))
		x.advance(4 * time.Second)
		var mu sync.Mutex
		granted := 0
		var group sync.WaitGroup
		for _, l := range x.peers {
			l.wait = 100 * time.Millisecond
			l.peers = &slowNetwork{network: x.peers, requestDelay: time.Millisecond, responseDelay: time.Millisecond}
			group.Go(func() {
				if _, err := l.Acquire(context.Background(), "badges", 40_000, "r"); err == nil {
					mu.Lock()
					granted++
					mu.Unlock()
				}
			})
		}
		group.Wait()
		if granted != 1 {
			t.Errorf("%d of two requests for two thirds of the burst are granted, want 1", granted)
		}
	})
}

func TestRunReturnsUnusedTokensToTheOwner(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, func(t *testing.T) {
		x := newCluster([]string{"a", "b"}, snapshotOf(tableOf(1, "b"), badges))
		x.advance(4 * time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		for _, l := range x.peers {
			group.Go(func() { _ = l.Run(ctx) })
		}
		grant, err := x.peers["a"].Acquire(ctx, "badges", 60_000, "r1")
		if err != nil {
			t.Fatal(err)
		}
		grant.Settle(59_000)
		grant.Settle(0)
		time.Sleep(2 * defaultRebalanceInterval)
		cancel()
		group.Wait()
		if tokens := x.peers["b"].spendableTokens(t); tokens < 3_000 || tokens > 4_000 {
			t.Errorf("the owner has %d tokens, want the 1000 unused ones and its refill", tokens)
		}
	})
}
