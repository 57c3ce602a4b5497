package systemtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/standin/model"
)

// chatBody returns a chat request whose messages before the last have the given texts.
func chatBody(shared []string, question string) string {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	var messages []message
	for _, text := range shared {
		messages = append(messages, message{"system", text})
	}
	messages = append(messages, message{"user", question})
	encoded, _ := json.Marshal(map[string]any{"model": modelName, "messages": messages, "max_tokens": 4})
	return string(encoded)
}

// chat sends requests with the given parts in turn to all routers for a time, and returns
// the number of responses by part list and status.
func (s *system) chat(t *testing.T, length, interval time.Duration, lists [][]string) map[string]map[int]int {
	t.Helper()
	var mu sync.Mutex
	var group sync.WaitGroup
	statuses := make(map[string]map[int]int)
	for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
		shared, r := lists[n%len(lists)], s.routers[n%len(s.routers)]
		body := chatBody(shared, fmt.Sprint(shared, " question ", n))
		group.Go(func() {
			status := 0
			if resp, err := s.send(t.Context(), r, http.MethodPost, "/v1/chat/completions", s.key, "", body); err == nil {
				status = resp.status
			}
			mu.Lock()
			defer mu.Unlock()
			key := fmt.Sprint(shared)
			if statuses[key] == nil {
				statuses[key] = make(map[int]int)
			}
			statuses[key][status]++
		})
		time.Sleep(interval)
	}
	group.Wait()
	return statuses
}

func (s *system) crashes() int {
	total := 0
	for _, e := range s.engines {
		total += e.engine.Crashes()
	}
	return total
}

// Requests with a message that crashes engines stop reaching engines within 3 s of the fifth
// crash, but for three probes. Requests that share the other messages are served.
func TestMessageThatCrashesEngines(t *testing.T) {
	const (
		blameTime  = 3 * time.Second
		maxCrashes = 3 // later than blameTime
	)
	s := start(t, plan{routers: 3, engines: 6, engine: model.Options{DecodeStep: time.Millisecond}})
	rules, poison, roof := longPrompt("rules"), longPrompt("poison"), longPrompt("roof")
	for _, e := range s.engines {
		e.engine.SetFaults(model.Faults{CrashPrompt: "poison", CrashDown: 300 * time.Millisecond})
	}
	lists := [][]string{{rules}, {rules, poison}, {rules, roof}, {roof}, {poison, roof}}
	s.chat(t, 2*blameTime, 30*time.Millisecond, lists)
	before := s.crashes()
	if before == 0 {
		t.Fatal("no engine crashed")
	}
	statuses := s.chat(t, blameTime, 30*time.Millisecond, lists)
	if late := s.crashes() - before; late > maxCrashes {
		t.Errorf("%d engines crashed later than %v after the fifth crash, %d before; allowed %d", late, blameTime, before, maxCrashes)
	}
	for _, shared := range [][]string{{rules}, {rules, roof}, {roof}} {
		counts := statuses[fmt.Sprint(shared)]
		sent := 0
		for _, n := range counts {
			sent += n
		}
		if counts[http.StatusOK] < sent*9/10 {
			t.Errorf("%.20q and %d more: %d of %d served: %v", shared[0], len(shared)-1, counts[http.StatusOK], sent, counts)
		}
	}
}
