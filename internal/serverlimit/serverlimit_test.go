package serverlimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

var start = time.Unix(1_000_000, 0)

func TestParse(t *testing.T) {
	for text, want := range map[string]float64{"1": 1, "1.1": 1.1, "0.25": 0.25, ".5": 0.5, "1000000": 1_000_000} {
		if limit, ok := Parse(text); !ok || limit != want {
			t.Errorf("%q: %v, %v, want %v", text, limit, ok, want)
		}
	}
	for _, text := range []string{"", " ", "0", "-1", "+1", "NaN", "nan", "Inf", "1e3", "0x10", "1_000", "1,5", "1.2.3", "1000001", "99999999999999999999", "12345678901234567890123456789", "one", "1 "} {
		if limit, ok := Parse(text); ok || limit != 0 {
			t.Errorf("%q: %v, %v, want malformed", text, limit, ok)
		}
	}
}

// cluster is some gateways that exchange news.
type cluster struct {
	gateways []*Limits
	now      time.Time
}

func newCluster(gateways int) *cluster {
	c := &cluster{now: start}
	var names []string
	for i := range gateways {
		names = append(names, fmt.Sprint("g", i))
	}
	for _, name := range names {
		l := New(name)
		l.SetGateways(names)
		c.gateways = append(c.gateways, l)
	}
	return c
}

func listed(string) (int64, bool) { return 1, true }

// spread tells all gateways the news of each.
func (c *cluster) spread() {
	for _, from := range c.gateways {
		news := from.News(false, c.now)
		for _, to := range c.gateways {
			if to != from {
				to.Merge(news, listed, c.now.Add(20*time.Millisecond))
			}
		}
	}
}

// A replay of load on one server that names a limit: whatever the number of gateways, the
// server gets no more than the users allow, and most of what its limit allows.
func TestReplayOfLimitedServer(t *testing.T) {
	const (
		window = 4 * time.Second
		step   = 5 * time.Millisecond
		apply  = 3 * time.Second
	)
	for _, gateways := range []int{1, 2, 4, 22, 300} {
		for _, limit := range []float64{0.3, 1, 1.1, 3.5, 20, 200} {
			c := newCluster(gateways)
			random := rand.New(rand.NewPCG(uint64(gateways), math.Float64bits(limit)))
			var arrivals []time.Time
			for end := start.Add(30 * time.Second); c.now.Before(end); c.now = c.now.Add(step) {
				for range 3 { // 600 requests a second want the server
					l := c.gateways[random.IntN(len(c.gateways))]
					if !l.Take("s", c.now) {
						continue
					}
					arrivals = append(arrivals, c.now)
					l.RecordNamed("s", 1, limit, c.now)
				}
				if random.IntN(40) == 0 {
					c.spread()
				}
			}
			allowed := 1.5*limit*window.Seconds() + 5
			got := 0
			for i, first := range arrivals {
				n := 0
				for ; i+n < len(arrivals) && arrivals[i+n].Before(first.Add(window)); n++ {
				}
				if first.After(start.Add(apply)) {
					got++
					if float64(n) > allowed {
						t.Errorf("%d gateways, limit %v: %d requests in %v, allowed %v", gateways, limit, n, window, allowed)
						break
					}
				}
			}
			if want := 0.6 * limit * 27; float64(got) < want-2 {
				t.Errorf("%d gateways, limit %v: %d requests in 27 s, want %v", gateways, limit, got, want)
			}
		}
	}
}

// A limit ends when the server no longer names it, at all gateways; one response without it
// changes nothing.
func TestLimitEnds(t *testing.T) {
	c := newCluster(3)
	limits := c.gateways[0]
	limits.RecordNamed("s", 1, 0.5, start)
	c.spread()
	limits.RecordUnnamed("s", 1, start.Add(endAfter+time.Second))
	limits.RecordNamed("s", 1, 0.5, start.Add(endAfter+2*time.Second))
	limits.RecordUnnamed("s", 1, start.Add(endAfter+3*time.Second))
	limits.RecordUnnamed("s", 1, start.Add(endAfter+3*time.Second))
	if limits.Limited(start.Add(10*time.Second)) != 1 {
		t.Fatal("the limit ended though it was named a second before")
	}
	c.now = start.Add(30 * time.Second)
	limits.RecordUnnamed("s", 1, c.now)
	limits.RecordUnnamed("s", 1, c.now)
	c.spread()
	for i, l := range c.gateways {
		if l.Limited(c.now) != 0 || l.Wait("s", c.now) != 0 || !l.Take("s", c.now) {
			t.Errorf("gateway %d still keeps to the limit", i)
		}
	}
}

// A limit that is not heard of any more, one of another incarnation and one of a server that
// is gone do not hold.
func TestLimitIsForgotten(t *testing.T) {
	l := New("g")
	l.RecordNamed("s", 1, 1, start)
	if l.Take("s", start) {
		t.Error("a request at the moment of the first response with a limit")
	}
	if !l.Take("s", start.Add(expiry)) {
		t.Error("the limit holds after its expiry")
	}
	l.RecordNamed("s", 1, 1, start)
	l.Prune(func(string) (int64, bool) { return 2, true })
	if !l.Take("s", start) || len(l.servers) != 0 {
		t.Error("the limit holds for another incarnation")
	}
}

// A gateway that joins learns of all limits that hold.
func TestJoiningGatewayLearnsLimits(t *testing.T) {
	old, joined := New("g0"), New("g1")
	old.RecordNamed("s", 1, 1, start)
	later := start.Add(5 * time.Second)
	if news := old.News(false, later); len(news) != 0 {
		t.Errorf("%d limits are still told to all", len(news))
	}
	joined.Merge(old.News(true, later), listed, later)
	if joined.Limited(later) != 1 {
		t.Error("the joining gateway knows no limit")
	}
}

// Malformed values change nothing but a counter.
func TestMalformedLimits(t *testing.T) {
	l := New("g")
	l.RecordNamed("s", 1, 2, start)
	for _, limit := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1), maxLimit + 1, math.MaxFloat64} {
		l.RecordNamed("s", 1, limit, start.Add(time.Second))
		l.RecordNamed("other", 1, limit, start.Add(time.Second))
		l.Merge([]*wire.NamedLimit{
			{Server: "s", Incarnation: 1, Limit: limit}, {Server: "other", Incarnation: 1, Limit: limit}, nil,
			{Server: "s", Incarnation: 1, Limit: 9, AgeMs: -1}, {Server: "s", Incarnation: 2, Limit: 9}, {Server: "s", Incarnation: 1, Limit: 9, AgeMs: math.MaxInt64},
		}, listed, start.Add(time.Second))
	}
	if s := l.servers["s"]; s == nil || s.limit != 2 || len(l.servers) != 1 {
		t.Errorf("the limits are %+v", l.servers)
	}
}

// What is told stays bounded with thousands of limited servers.
func TestNewsIsBounded(t *testing.T) {
	l := New("g")
	for i := range 7000 {
		l.RecordNamed(fmt.Sprint("s", i), 1, 5, start)
	}
	if news := l.News(true, start); len(news) > maxTold {
		t.Errorf("%d limits in one message", len(news))
	}
}
