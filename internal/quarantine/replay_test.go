package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// replay plays requests to gateways and servers in steps of simulated time. Each gateway
// has a Quarantine of its own, and exchanges news with each other one.
type replay struct {
	random   *rand.Rand
	now      time.Time
	gateways []*Quarantine
	servers  []simServer
	running  []*simRequest
	reports  []simReport // crashes that are not confirmed yet

	crashing  Part            // crashes servers; 0: none does
	early     bool            // a server crashes before its response begins
	interval  time.Duration   // between two exchanges of a pair
	arrivals  []time.Time     // requests with the crashing part at servers
	ends      []time.Time     // of servers, under the crashing part
	heldSound map[string]int  // sound requests that were held back, by parts
	sent      map[string]int  // by parts
	cut       map[int]bool    // gateways that exchange no news
	elect     func(int) Elect // of a gateway
}

type simServer struct {
	starts    int
	downUntil time.Time
}

type simRequest struct {
	gateway, server, starts int
	parts                   []Part
	sent, begins, ends      time.Time
	probe                   Part
}

type simReport struct {
	gateway int
	crash   Crash
	at      time.Time
}

const (
	simStep     = 5 * time.Millisecond
	simDowntime = 4 * time.Second
)

func newReplay(seed uint64, gateways, servers int) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0), servers: make([]simServer, servers), interval: 250 * time.Millisecond,
		heldSound: make(map[string]int), sent: make(map[string]int), cut: make(map[int]bool),
	}
	var names []string
	for i := range gateways {
		names = append(names, fmt.Sprint("g", i))
	}
	r.elect = func(i int) Elect {
		return func(part Part, turn int64) bool { return Elected(part, turn, names[i], names) }
	}
	for i := range gateways {
		r.gateways = append(r.gateways, New(r.elect(i)))
	}
	return r
}

// play plays requests for a time: each of rates a second has the parts of its key.
func (r *replay) play(length time.Duration, rates map[string]float64) {
	for end := r.now.Add(length); r.now.Before(end); r.now = r.now.Add(simStep) {
		for _, parts := range sortedKeys(rates) {
			if r.random.Float64() < rates[parts]*simStep.Seconds() {
				r.send(parts)
			}
		}
		r.advance()
		r.exchange()
	}
}

func sortedKeys(rates map[string]float64) []string {
	var keys []string
	for key := range rates {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// send sends a request to a server that is up, unless it is held back.
func (r *replay) send(text string) {
	r.sent[text]++
	parts := partsOf(text)
	if text == "rare" { // a part that few requests share
		parts = append(parts, Part(1000+r.random.IntN(300)))
	}
	gateway := r.random.IntN(len(r.gateways))
	decision := r.gateways[gateway].Check(parts, r.now)
	if decision.Held {
		if !slices.Contains(parts, r.crashing) {
			r.heldSound[text]++
		}
		return
	}
	server := r.random.IntN(len(r.servers))
	for range r.servers {
		if !r.now.Before(r.servers[server].downUntil) {
			break
		}
		server = (server + 1) % len(r.servers)
	}
	if r.now.Before(r.servers[server].downUntil) {
		return // no server is up
	}
	if r.crashing != 0 && slices.Contains(parts, r.crashing) {
		r.arrivals = append(r.arrivals, r.now)
	}
	begins := r.now.Add(time.Duration(30+r.random.IntN(300)) * time.Millisecond)
	r.running = append(r.running, &simRequest{
		gateway: gateway, server: server, starts: r.servers[server].starts, parts: parts, sent: r.now, probe: decision.Part,
		begins: begins, ends: begins.Add(time.Duration(100+r.random.IntN(600)) * time.Millisecond),
	})
}

func partsOf(text string) []Part {
	var parts []Part
	for _, name := range text {
		parts = append(parts, PartOf("service", string(name)))
	}
	return parts
}

// advance begins and ends requests, and confirms crashes.
func (r *replay) advance() {
	for _, req := range slices.Clone(r.running) {
		if !slices.Contains(r.running, req) {
			continue // its server has ended
		}
		switch {
		case r.crashing != 0 && slices.Contains(req.parts, r.crashing) && !r.now.Before(req.begins):
			r.ends = append(r.ends, r.now)
			r.endServer(req.server, req)
		case !r.now.Before(req.ends):
			r.remove(req)
			r.gateways[req.gateway].RecordSuccess(req.parts, r.now)
		}
	}
	r.reports = slices.DeleteFunc(r.reports, func(report simReport) bool {
		if r.now.Before(report.at) {
			return false
		}
		r.gateways[report.gateway].RecordCrash(report.crash, r.now)
		return true
	})
}

func (r *replay) remove(req *simRequest) {
	r.running = slices.DeleteFunc(r.running, func(other *simRequest) bool { return other == req })
}

// endServer ends a server, under a request that had just begun if cause is set.
func (r *replay) endServer(server int, cause *simRequest) {
	name := fmt.Sprintf("s%d@%d", server, r.servers[server].starts)
	r.servers[server].starts++
	r.servers[server].downUntil = r.now.Add(simDowntime)
	for _, req := range slices.Clone(r.running) {
		if req.server != server {
			continue
		}
		r.remove(req)
		crash := Crash{Server: name, Sent: req.sent, Ended: r.now, Parts: req.parts}
		switch {
		case req == cause && r.early:
			crash.Stage = Waiting
		case req == cause:
			crash.Stage = Beginning
		case r.now.Before(req.begins):
			crash.Stage = Waiting
		case r.now.Sub(req.begins) < 20*time.Millisecond:
			crash.Stage = Beginning
		case r.now.Sub(req.begins) < 500*time.Millisecond:
			crash.Stage = Streaming
		default:
			continue
		}
		if req.probe != 0 {
			r.gateways[req.gateway].EndProbe(req.probe, ProbeBroke, r.now)
		}
		r.reports = append(r.reports, simReport{gateway: req.gateway, crash: crash, at: r.now.Add(time.Duration(r.random.IntN(60)) * time.Millisecond)})
	}
}

// exchange exchanges news between the pairs whose turn it is.
func (r *replay) exchange() {
	for i, one := range r.gateways {
		for j, other := range r.gateways[i+1:] {
			if r.cut[i] || r.cut[i+1+j] || r.random.Float64() >= float64(simStep)/float64(r.interval) {
				continue
			}
			late := r.now.Add(time.Duration(r.random.IntN(40)) * time.Millisecond)
			other.Merge(one.News(other.Digest(), r.now), late)
			one.Merge(other.News(one.Digest(), r.now), late)
		}
	}
}

// late returns the number of requests with the crashing part at servers later than the
// bound after the fifth end.
func (r *replay) late(bound time.Duration) int {
	if len(r.ends) < 5 {
		return 0
	}
	late := 0
	for _, at := range r.arrivals {
		if at.After(r.ends[4].Add(bound)) {
			late++
		}
	}
	return late
}

const (
	// The users' bounds: at most three requests later than contactTime after the fifth end.
	contactTime = 3 * time.Second
	maxLate     = 3
)

// crashingCase is traffic with a part that crashes servers: A is in all prompts, P crashes them.
type crashingCase struct {
	name              string
	gateways, servers int
	rates             map[string]float64
}

var mostlyCrashing = crashingCase{"mostly crashing", 5, 16, map[string]float64{"AP": 8, "ABP": 8, "A": 1, "AB": 1, "AC": 1}}

// check checks that requests with the part are held back in time, and sound ones that share
// all other parts are not.
func (c *crashingCase) check(t *testing.T, seed uint64, early bool) {
	t.Helper()
	t.Run(fmt.Sprint(c.name, " ", seed), func(t *testing.T) {
		r := newReplay(seed, c.gateways, c.servers)
		r.early = early
		r.play(3*time.Second, map[string]float64{"A": 10, "AB": 5, "B": 3, "AC": 3})
		r.crashing = PartOf("service", "P")
		r.play(60*time.Second, c.rates)
		t.Logf("ends %d late %d held %v sent %v", len(r.ends), r.late(contactTime), r.heldSound, r.sent)
		if late := r.late(contactTime); late > maxLate {
			t.Errorf("%d requests with the part arrived late, %d servers ended", late, len(r.ends))
		}
		for parts, held := range r.heldSound {
			if held*20 > r.sent[parts] {
				t.Errorf("%q: %d of %d sound requests held back", parts, held, r.sent[parts])
			}
		}
	})
}

// Requests with a crashing part are held back in time, and sound ones that share all other
// parts are not, whether servers end before they respond or after that.
func TestReplayOfCrashingPart(t *testing.T) {
	for _, c := range []crashingCase{
		{"few", 4, 12, map[string]float64{"A": 6, "AP": 1, "APB": 1, "PC": 1, "AB": 6, "AC": 4, "rare": 5}},
		{"rare crashes", 4, 12, map[string]float64{"A": 6, "AP": 0.3, "ABP": 0.3, "AB": 6, "AC": 4, "rare": 5}},
		{"first part", 5, 16, map[string]float64{"PA": 2, "PAB": 2, "P": 1, "A": 4, "AB": 4, "B": 4}},
		{"large", 30, 60, map[string]float64{"AP": 10, "BP": 5, "A": 20, "AB": 20, "B": 10, "rare": 20}},
	} {
		for seed := range uint64(8) {
			c.check(t, seed, seed >= 4)
		}
	}
	for seed := range uint64(4) {
		mostlyCrashing.check(t, seed, false)
	}
}

// The same while most requests end servers, and do so before a response begins.
func TestReplayOfMostlyEarlyCrashes(t *testing.T) {
	for seed := uint64(4); seed < 8; seed++ {
		mostlyCrashing.check(t, seed, true)
	}
}

// Servers that end for other reasons, one by one or many at once, hold back nothing.
func TestReplayOfOrdinaryCrashes(t *testing.T) {
	rates := map[string]float64{"A": 10, "AB": 10, "ABC": 3, "D": 0.5, "rare": 10}
	for seed := range uint64(5) {
		r := newReplay(seed, 4, 12)
		for range 30 {
			r.play(time.Second, rates)
			r.endServer(r.random.IntN(len(r.servers)), nil)
			r.play(time.Second, rates)
			if r.random.IntN(4) == 0 { // half of the servers, within a moment
				for i := range len(r.servers) / 2 {
					r.endServer(2*i, nil)
					r.play(simStep*time.Duration(r.random.IntN(4)), rates)
				}
			}
		}
		for parts, held := range r.heldSound {
			t.Errorf("seed %d: %q: %d of %d requests held back", seed, parts, held, r.sent[parts])
		}
	}
}

// While the part crashes servers, few probes are sent; after that, one of them ends the
// blame at all gateways.
func TestBlameEndsWithTheTrouble(t *testing.T) {
	rates := map[string]float64{"A": 10, "AP": 3, "AB": 5}
	for seed := range uint64(2) {
		r := newReplay(seed, 6, 12)
		r.crashing = PartOf("service", "P")
		r.play(10*time.Second, rates)
		before := len(r.ends)
		r.play(10*time.Minute, rates)
		if probes := len(r.ends) - before; probes < 1 || probes > maxLate {
			t.Errorf("seed %d: %d servers ended in ten minutes", seed, probes)
		}
		r.crashing = 0
		r.now = r.now.Add(holdFactor * firstHold) // until the next probe
		r.play(time.Minute, rates)
		for i, q := range r.gateways {
			if q.Len() > 0 {
				t.Errorf("seed %d: gateway %d still blames %d parts", seed, i, q.Len())
			}
		}
	}
}

// A gateway that starts, or was cut off, learns of the blame from another one.
func TestBlameReachesStartedAndCutOffGateways(t *testing.T) {
	rates := map[string]float64{"A": 10, "AP": 3, "BP": 3, "AB": 5}
	r := newReplay(1, 5, 12)
	r.cut[0] = true
	r.crashing = PartOf("service", "P")
	r.play(8*time.Second, rates)
	r.gateways[1] = New(r.elect(1))
	r.cut[0] = false
	r.play(3*time.Second, nil)
	for i, q := range r.gateways {
		for _, text := range []string{"AP", "BP", "CPD"} {
			if !q.Check(partsOf(text), r.now).Held {
				t.Errorf("gateway %d does not hold back %q", i, text)
			}
		}
		for _, text := range []string{"A", "AB", "CD"} {
			if q.Check(partsOf(text), r.now).Held {
				t.Errorf("gateway %d holds back %q", i, text)
			}
		}
	}
}
