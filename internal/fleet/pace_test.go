package fleet

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

// paceTest is a service whose servers send events, each in its own interval.
type paceTest struct {
	fleet     *Fleet
	snapshot  *deployment.Snapshot
	now       time.Time
	intervals []time.Duration
	next      []time.Time
}

// newPaceTest returns servers with the given speeds. At speed 1 a gateway sees 20 events a
// second of each, as a busy one does.
func newPaceTest(speeds ...float64) *paceTest {
	p := &paceTest{fleet: New(), now: start}
	var servers []*deployment.Server
	for i, speed := range speeds {
		servers = append(servers, engine(fmt.Sprint("e", i), 1, 1))
		p.intervals = append(p.intervals, time.Duration(float64(50*time.Millisecond)/speed))
		p.next = append(p.next, start.Add(time.Duration(i)*time.Millisecond))
	}
	p.snapshot = snapshotOf(servers...)
	return p
}

// speed returns the speed of a server for placement.
func (p *paceTest) speed(i int) float64 {
	return viewOf(p.fleet, p.snapshot, fmt.Sprint("e", i), p.now).Speed
}

// run plays events until stop reports true, at most for the given time, and returns the time
// that passed.
func (p *paceTest) run(limit time.Duration, stop func() bool) time.Duration {
	begin := p.now
	for p.now.Sub(begin) < limit && !stop() {
		p.now = p.now.Add(10 * time.Millisecond)
		for i, interval := range p.intervals {
			for !p.next[i].After(p.now) {
				p.fleet.RecordInterval(fmt.Sprint("e", i), interval, 1, p.now)
				p.next[i] = p.next[i].Add(interval)
			}
		}
	}
	return p.now.Sub(begin)
}

func never() bool { return false }

func repeated(n int, speeds ...float64) (list []float64) {
	for range n {
		list = append(list, speeds...)
	}
	return list
}

// Deployments whose servers are alike must be served as before.
func TestEqualServersHaveNoSpeeds(t *testing.T) {
	p := newPaceTest(repeated(4, 0.9, 1, 1.1)...)
	p.run(3*time.Second, func() bool {
		for i := range p.intervals {
			if speed := p.speed(i); speed != 0 {
				t.Fatalf("server %d has speed %f", i, speed)
			}
		}
		return false
	})
}

func TestUnequalServersAreToldApart(t *testing.T) {
	p := newPaceTest(repeated(4, 0.6, 1, 1.6)...)
	p.run(2*time.Second, never)
	for i := range p.intervals {
		if want := []float64{0.6, 1, 1.6}[i%3]; math.Abs(p.speed(i)-want) > 0.05*want {
			t.Errorf("server %d has speed %f, want %f", i, p.speed(i), want)
		}
	}
}

// A stream that stalls for a minute must not count for more than one of a second, and
// malformed intervals must not count at all.
func TestOutlierIsBounded(t *testing.T) {
	p := newPaceTest(repeated(4, 0.6, 1, 1.6)...)
	p.run(2*time.Second, never)
	before := p.fleet.servers["e1"].pace.ms
	p.fleet.RecordInterval("e1", -time.Second, 1, p.now)
	p.fleet.RecordInterval("e1", time.Second, 0, p.now)
	if after := p.fleet.servers["e1"].pace.ms; after != before {
		t.Errorf("malformed intervals change the pace from %f to %f ms", before, after)
	}
	p.fleet.RecordInterval("e1", time.Minute, 1, p.now)
	step := p.fleet.servers["e1"].pace.ms - before
	if bound := paceSmoothing * float64(maxInterval/time.Millisecond); step <= 0 || step > bound {
		t.Errorf("one outlier changes the pace by %f ms, want at most %f", step, bound)
	}
	p.run(speedInterval, never)
	t.Logf("speed %.2f after the outlier", p.speed(1))
	took := p.run(2*time.Second, func() bool { return p.speed(1) > 0.85 })
	t.Logf("usual after %v", took)
	if took >= 2*time.Second {
		t.Errorf("speed %f 2 s after an outlier", p.speed(1))
	}
}

// A server that started again, perhaps on another machine, must not inherit a pace.
func TestNewIncarnationHasNoPace(t *testing.T) {
	p := newPaceTest(repeated(4, 0.6, 1, 1.6)...)
	p.run(2*time.Second, func() bool { return p.speed(0) < 0 }) // servers are viewed all the time
	var servers []*deployment.Server
	for i := range p.intervals {
		servers = append(servers, engine(fmt.Sprint("e", i), 1, 1))
	}
	servers[0].Incarnation = 2
	p.snapshot = snapshotOf(servers...)
	p.fleet.Prune(p.snapshot)
	p.now = p.now.Add(speedInterval)
	if own, other := p.speed(0), p.speed(3); own != 0 || other == 0 {
		t.Errorf("speed %f of the new incarnation, %f of another server, want none and some", own, other)
	}
}

// A slow server gets few requests. If its pace were forgotten, it would get as many as others
// again, and each time some of them would be late.
func TestSlowServerIsNotForgotten(t *testing.T) {
	p := newPaceTest(repeated(4, 0.6, 1, 1.6)...)
	p.run(2*time.Second, never)
	p.next[0] = p.now.Add(time.Hour) // no events
	p.run(20*time.Second, never)
	if speed := p.speed(0); speed == 0 || speed > 0.65 {
		t.Errorf("speed %f after 20 s without events, want 0.6", speed)
	}
}

// A server whose streams ended while it was disrupted must not be left out for ever.
func TestPaceIsForgottenWithoutEvents(t *testing.T) {
	p := newPaceTest(repeated(4, 0.6, 1, 1.6)...)
	p.run(2*time.Second, never)
	p.next[0] = p.now.Add(time.Hour) // no events
	p.run(paceTTL+time.Second, never)
	if speed := p.speed(0); speed != 0 {
		t.Errorf("speed %f", speed)
	}
}

// checkDisruption disrupts one of the servers by a factor of 2.5 for 3 s. It must be known as
// slow within 1 s, and as usual within 2 s after the disruption. Its speed counts as slow if it
// is nearer to that of the disruption, 0.4 of the usual, than to the usual one.
func checkDisruption(t *testing.T, speeds []float64) {
	p := newPaceTest(speeds...)
	p.run(2*time.Second, never)
	usual := p.intervals[1]
	p.intervals[1] = usual * 5 / 2
	found := p.run(time.Second, func() bool { return p.speed(1) > 0 && p.speed(1) < 0.7 })
	t.Logf("slow after %v, speed %.2f", found, p.speed(1))
	if found >= time.Second {
		t.Errorf("speed %f 1 s after the beginning of the disruption", p.speed(1))
	}
	p.run(3*time.Second-found, never)
	p.intervals[1] = usual
	p.next[1] = p.now.Add(usual)
	back := p.run(2*time.Second, func() bool { return p.speed(1) == 0 || p.speed(1) > 0.85 })
	t.Logf("usual after %v, speed %.2f", back, p.speed(1))
	if back >= 2*time.Second {
		t.Errorf("speed %f 2 s after the end of the disruption", p.speed(1))
	}
}

func TestDisruptedServer(t *testing.T) { checkDisruption(t, repeated(4, 0.6, 1, 1.6)) }

// Speeds are used only if a fifth of the servers differ, so that a single disrupted server
// among equal ones gets as many requests as the others.
func TestDisruptedServerAmongEqualOnes(t *testing.T) { checkDisruption(t, repeated(12, 1)) }

// Streams record intervals while other requests are placed and lists change. The race detector
// must find nothing, and no server may get a speed out of bounds.
func TestConcurrentIntervalsAndViews(t *testing.T) {
	p := newPaceTest(repeated(4, 0.6, 1, 1.6)...)
	var group sync.WaitGroup
	for i, interval := range p.intervals {
		group.Go(func() {
			for n := range 200 {
				p.fleet.RecordInterval(fmt.Sprint("e", i), interval, 1, p.now)
				at := start.Add(time.Duration(n) * speedInterval)
				for _, server := range p.fleet.View(p.snapshot, "lm", "m", at) {
					if server.Speed != 0 && (server.Speed < minSpeed || server.Speed > maxSpeed) {
						t.Errorf("%s has speed %f", server.ID, server.Speed)
					}
				}
				if n%50 == 0 {
					p.fleet.Prune(p.snapshot)
				}
			}
		})
	}
	group.Wait()
}
