package systemtest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/standin/model"
	"github.com/wasabigate/wasabigate/internal/standin/service"
)

// drainTime is the time after which a backend server that leaves gets no request, pauseSlack
// that after which one that wants none gets two at most.
const (
	drainTime  = 2 * time.Second
	pauseSlack = 500 * time.Millisecond
	// saysInterval is the time between two requests. With some 700 tokens each they stay well
	// below the rate of their workspace.
	saysInterval = 30 * time.Millisecond
)

// sixPrompts returns prompts that no engine has seen.
func sixPrompts() [][]string {
	var lists [][]string
	for range 6 {
		lists = append(lists, []string{longPrompt(fmt.Sprint("says", rand.Uint64()))})
	}
	return lists
}

// served returns how many of the requests were answered, and how many there were.
func served(statuses map[string]map[int]int) (ok, sent int) {
	for _, counts := range statuses {
		ok += counts[http.StatusOK]
		for _, n := range counts {
			sent += n
		}
	}
	return ok, sent
}

// An engine says in its answers that it leaves. No router sends it anything, until another
// process of it runs.
func TestEngineThatSaysThatItLeaves(t *testing.T) {
	s := start(t, plan{routers: 3, engines: 3, engine: model.Options{DecodeStep: time.Millisecond}})
	leaving := s.engines[0]
	leaving.engine.SetFaults(model.Faults{Leaving: true})
	s.chat(t, drainTime, saysInterval, sixPrompts())
	before := leaving.captured.generations()
	ok, sent := served(s.chat(t, 2*time.Second, saysInterval, sixPrompts()))
	if got := leaving.captured.generations() - before; got > 0 {
		t.Errorf("the leaving engine got %d requests", got)
	}
	if ok != sent {
		t.Errorf("%d of %d requests served", ok, sent)
	}
	leaving.engine.Crash(200 * time.Millisecond)
	eventually(t, 15*time.Second, "the engine's next process gets requests", func() bool {
		s.chat(t, 300*time.Millisecond, saysInterval, sixPrompts())
		return leaving.captured.generations() > before
	})
}

// An engine refuses requests and names a time. It gets two at most within that time, and the
// others serve all.
func TestEngineThatWantsNothingForATime(t *testing.T) {
	const period = 3 * time.Second
	s := start(t, plan{routers: 3, engines: 3, engine: model.Options{DecodeStep: time.Millisecond}})
	refusing := s.engines[0]
	refusing.engine.SetFaults(model.Faults{Refuse: true, RetryAfter: "3"})
	first := s.chat(t, pauseSlack+200*time.Millisecond, saysInterval, sixPrompts())
	ok, sent := served(first)
	before := refusing.captured.generations()
	second := s.chat(t, 2*period, saysInterval, sixPrompts())
	ok2, sent2 := served(second)
	if got := refusing.captured.generations() - before; got > 2*3 {
		t.Errorf("the refusing engine got %d requests in two periods", got)
	}
	if ok+ok2 != sent+sent2 {
		t.Errorf("%d of %d requests served: %v, then %v", ok+ok2, sent+sent2, first, second)
	}
	refusing.engine.SetFaults(model.Faults{})
	eventually(t, 15*time.Second, "the engine gets requests again", func() bool {
		before := refusing.captured.generations()
		s.chat(t, 300*time.Millisecond, saysInterval, sixPrompts())
		return refusing.captured.generations() > before+2
	})
}

// If all engines want nothing, requests are rejected at once as not run, with the time after
// which one wants requests again.
func TestNoEngineWantsRequests(t *testing.T) {
	s := start(t, plan{routers: 1, engines: 2, engine: model.Options{DecodeStep: time.Millisecond}})
	for _, e := range s.engines {
		e.engine.SetFaults(model.Faults{Refuse: true, RetryAfter: "4"})
	}
	s.chat(t, 300*time.Millisecond, saysInterval, sixPrompts())
	begun := time.Now()
	response, err := s.send(t.Context(), s.routers[0], http.MethodPost, "/v1/completions", s.key, "", completionBody(longPrompt("none"), 4, false))
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(begun); took > 500*time.Millisecond || response.header.Get("Wasabigate-Verdict") != "not-run" || response.header.Get("Retry-After") == "" {
		t.Errorf("status %d after %v, headers %v", response.status, took, response.header)
	}
}

// A plain service says that it leaves, or wants nothing for a time; orders go to the other one.
func TestServiceThatSaysWhatItWants(t *testing.T) {
	for name, faults := range map[string]service.Faults{"leaves": {Leaving: true}, "wants nothing": {Refuse: true, RetryAfter: "30"}} {
		t.Run(name, func(t *testing.T) {
			s := start(t, plan{routers: 2, services: 2, engines: 1})
			s.services[0].service.SetFaults(faults)
			order := func(i int) int {
				response, err := s.order(t.Context(), s.routers[i%2], fmt.Sprint("order-", name, i))
				if err != nil {
					t.Fatal(err)
				}
				return response.status
			}
			for i := range 20 {
				order(i)
			}
			before := s.services[0].captured.workCount()
			for i := range 40 {
				if status := order(100 + i); status != http.StatusCreated {
					t.Errorf("order %d: status %d", i, status)
				}
			}
			if got := s.services[0].captured.workCount() - before; got > 0 {
				t.Errorf("the service got %d calls", got)
			}
		})
	}
}
