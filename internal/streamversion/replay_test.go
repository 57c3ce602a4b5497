package streamversion

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/platform"
)

const (
	replayStep     = 50 * time.Millisecond
	replayLifetime = 5 * time.Second
)

// replay plays streams through gateways whose views of the store lag, while servers of other
// versions come and go.
type replay struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	era      platform.Era
	revision platform.Version
	stored   *Assignment
	pool     map[string]int // servers by version
	history  []view         // of the store, by step
	keeper   *keptService
	gateways []*replayGateway
	streams  []*replayStream

	begins, begun, takeUps, wentOn int
	mixed                          []string
}

// view is the state of the store at a time.
type view struct {
	at         time.Time
	era        platform.Era
	assignment *Assignment
	pool       map[string]int
}

type replayGateway struct {
	decider *Decider
	lag     time.Duration
}

type replayStream struct {
	id      string
	version string
	began   time.Time
	lost    bool // its gateway was killed, or its server ended
}

func newReplay(t *testing.T, seed uint64, versions map[string]int) *replay {
	r := &replay{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), era: 1, pool: versions, keeper: &keptService{}}
	for range 4 {
		r.gateways = append(r.gateways, &replayGateway{decider: NewDecider(), lag: time.Duration(r.random.IntN(1500)) * time.Millisecond})
	}
	return r
}

// run plays the time, with streams in all steps.
func (r *replay) run(length time.Duration) {
	for end := r.now.Add(length); r.now.Before(end); r.now = r.now.Add(replayStep) {
		r.history = append(r.history, view{r.now, r.era, r.stored, maps.Clone(r.pool)})
		state := &ServiceState{Name: "s", Pool: Pool{Assignment: r.stored, Era: r.era, Versions: r.pool}, Capacities: r.pool, Lifetime: replayLifetime}
		if next := r.keeper.plan(state, 0, r.now); next != nil {
			r.store(next)
		}
		for range 5 {
			r.begin()
		}
		r.breakStreams()
	}
}

// store writes an assignment in its encoded form.
func (r *replay) store(next *Assignment) {
	text, err := next.Encode()
	if err != nil {
		r.t.Fatal(err)
	}
	if r.stored, err = Decode(text); err != nil {
		r.t.Fatal(err)
	}
	r.revision++
	r.stored.Revision = r.revision
}

// seen returns the pool as a gateway sees it, and the versions that are in service.
func (r *replay) seen(g *replayGateway) *Pool {
	at := max(0, len(r.history)-1-int(g.lag/replayStep))
	v := &r.history[at]
	return &Pool{Assignment: v.assignment, Era: v.era, Versions: v.pool}
}

func (r *replay) begin() {
	g := r.gateways[r.random.IntN(len(r.gateways))]
	s := &replayStream{id: fmt.Sprintf("%x", r.random.Uint64()), began: r.now}
	pool := r.seen(g)
	r.begins++
	decision := g.decider.Decide(&Stream{Service: "s", ID: s.id}, pool)
	s.version = decision.Version
	if decision.Any {
		s.version = slices.Sorted(maps.Keys(pool.Versions))[0]
	}
	if decision.Refusal != NotRefused || r.pool[s.version] == 0 {
		return
	}
	r.begun++
	g.decider.RecordBegin("s", s.id, s.version, r.now)
	r.streams = append(r.streams, s)
}

// breakStreams breaks some streams, whose clients take them up at any gateway.
func (r *replay) breakStreams() {
	var rest []*replayStream
	for _, s := range r.streams {
		if r.now.Sub(s.began) > replayLifetime {
			continue
		}
		if !s.lost && r.random.IntN(20) > 0 {
			rest = append(rest, s)
			continue
		}
		r.takeUp(s)
	}
	r.streams = rest
}

func (r *replay) takeUp(s *replayStream) {
	g := r.gateways[r.random.IntN(len(r.gateways))]
	pool := r.seen(g)
	rest := &Stream{Service: "s", ID: s.id + "-2", Continues: true, Origin: s.id}
	decision := g.decider.Decide(rest, pool)
	if decision.Refusal == NotConfirmed {
		pool.Assignment, pool.Era, pool.Confirmed = r.stored, r.era, true
		decision = g.decider.Decide(rest, pool)
	}
	if decision.Refusal == NotRefused && (decision.Any || decision.Version != s.version) {
		r.mixed = append(r.mixed, fmt.Sprintf("%s began at %s and goes on at %s, %v later, %s", s.id, s.version, decision.Version, r.now.Sub(s.began), r.now.Format("05.000")))
	}
	if r.pool[s.version] < 2 {
		return
	}
	r.takeUps++
	if decision.Refusal == NotRefused {
		r.wentOn++
	}
}

// killAll ends all gateways, which know nothing after their start, and all streams.
func (r *replay) killAll() {
	for _, g := range r.gateways {
		g.decider = NewDecider()
	}
	for _, s := range r.streams {
		s.lost = true
	}
	r.keeper = &keptService{}
}

// check checks that no stream is mixed and, if wanted, that the share of take-ups that go on
// is at least half of the share of streams that begin.
func (r *replay) check(checkShare bool) {
	r.t.Helper()
	for i, text := range r.mixed {
		if i < 5 {
			r.t.Error(text)
		}
	}
	begun, wentOn := float64(r.begun)/float64(r.begins), float64(r.wentOn)/float64(max(1, r.takeUps))
	r.t.Logf("%d of %d streams begin, %d of %d are taken up, %d mixed", r.begun, r.begins, r.wentOn, r.takeUps, len(r.mixed))
	if checkShare && wentOn < begun/2 {
		r.t.Errorf("%.2f of the streams that break go on, %.2f begin", wentOn, begun)
	}
}

// A stream goes on at the version that began it or not at all, over releases, kills of all
// gateways and views of the store that lag.
func TestStreamsAreNotMixed(t *testing.T) {
	for seed := range uint64(5) {
		for name, play := range map[string]func(r *replay){
			"side by side": func(r *replay) {
				r.pool["v2"] = 6
				r.run(20 * time.Second)
			},
			"rolling release": func(r *replay) {
				for r.pool["v1"] > 0 {
					r.pool["v2"]++
					r.run(500 * time.Millisecond)
					r.pool["v1"]--
				}
				r.run(20 * time.Second)
			},
			"release at once": func(r *replay) {
				r.pool["v2"] = 12
				r.run(time.Second)
				r.pool["v1"] = 0
				r.run(20 * time.Second)
			},
			"all gateways killed after a release": func(r *replay) {
				r.pool["v2"] = 12
				r.run(time.Second)
				r.pool["v1"] = 0
				r.run(1300 * time.Millisecond)
				r.killAll()
				r.run(20 * time.Second)
			},
			"killed again and again": func(r *replay) {
				for range 12 {
					r.pool["v2"], r.pool["v1"] = r.pool["v2"]+1, r.pool["v1"]-1
					r.run(1500 * time.Millisecond)
					r.killAll()
				}
			},
			"back and forth": func(r *replay) {
				for i := range 8 {
					r.pool["v1"], r.pool["v2"] = 2+8*(i%2), 10-8*(i%2)
					r.run(3 * time.Second)
				}
			},
			"restored store": func(r *replay) {
				r.run(time.Second)
				old := r.stored
				r.pool["v2"] = 12
				r.run(8 * time.Second)
				r.store(old)
				r.era++
				r.run(15 * time.Second)
			},
		} {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				r := newReplay(t, seed, map[string]int{"v1": 12})
				r.run(30 * time.Second)
				play(r)
				r.check(true)
			})
		}
	}
}
