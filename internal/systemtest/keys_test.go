package systemtest

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/standin/kv"
	"github.com/wasabigate/wasabigate/internal/standin/model"
)

// withdrawalTimeout is the time after which a withdrawn key must be refused everywhere.
const withdrawalTimeout = 3 * time.Second

func TestWithdrawnKeyStopsWorking(t *testing.T) {
	cases := []struct {
		name  string
		fault func(s *system) // right after the withdrawal was accepted
	}{
		{"calm", func(*system) {}},
		{"key-value service goes down", func(s *system) {
			time.Sleep(100 * time.Millisecond)
			s.kv.SetFaults(kv.Faults{Down: true})
		}},
		{"VM list down", func(s *system) { s.vms.SetDown(true) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, plan{routers: 2, engines: 2, engine: model.Options{DecodeStep: 20 * time.Millisecond}})
			ended := make(chan *streamedResponse, 1)
			running := make(chan struct{})
			go func() {
				resp, _ := s.stream(t.Context(), s.routers[0], s.key, completionBody(longPrompt("endless"), 5000, true), "", func(n int) {
					if n == 3 {
						close(running)
					}
				})
				ended <- resp
			}()
			<-running
			if _, err := s.store.Withdraw(t.Context(), "test", "north-1"); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			c.fault(s)
			select {
			case resp := <-ended:
				if resp == nil || resp.complete || !strings.Contains(resp.errorEvent, "key_withdrawn") {
					t.Errorf("the running stream ended with %+v", resp)
				}
			case <-time.After(withdrawalTimeout):
				t.Errorf("the stream still runs %v after the withdrawal", withdrawalTimeout)
			}
			time.Sleep(time.Until(began.Add(withdrawalTimeout)))
			for _, r := range s.routers {
				if status := s.tryComplete(t.Context(), r, "hello"); status != http.StatusUnauthorized {
					t.Errorf("%s responds to the withdrawn key with %d", r.name, status)
				}
			}
			resp, err := s.send(t.Context(), s.routers[1], http.MethodGet, "/desk/lookup/7", s.otherKey, "", "")
			if err != nil || resp.status != http.StatusServiceUnavailable { // this system has no desk server
				t.Errorf("another workspace's key: %+v, %v", resp, err)
			}
		})
	}
}

func TestNoBackendServerSeesACallersKey(t *testing.T) {
	s := start(t, plan{routers: 1, engines: 1, services: 1})
	secret := s.key[strings.LastIndexByte(s.key, '-')+1:]
	for _, header := range []string{"Authorization", "X-Api-Key", "Api-Key", "Proxy-Authorization"} {
		for _, path := range []string{"/v1/completions", "/v1/chat/completions", "/desk/lookup/7", "/desk/orders", "/rolls/jobs/3"} {
			s.sendWithHeader(t, path, header)
		}
	}
	chat := map[string]any{"model": modelName, "messages": []map[string]string{{"role": "user", "content": "my key is " + s.key}}}
	encoded, _ := json.Marshal(chat)
	for _, body := range []string{string(encoded), completionBody("my key is "+s.key, 1, false)} {
		for _, path := range []string{"/v1/completions", "/v1/chat/completions", "/desk/orders"} {
			if _, err := s.send(t.Context(), s.routers[0], http.MethodPost, path, s.key, "", body); err != nil {
				t.Fatal(err)
			}
		}
	}
	if _, err := s.send(t.Context(), s.routers[0], http.MethodGet, "/desk/lookup/7?key="+s.key, s.key, "", ""); err != nil {
		t.Fatal(err)
	}
	for name, seen := range s.recordedBytes() {
		if len(seen) == 0 {
			t.Errorf("%s received nothing", name)
		}
		if bytes.Contains(seen, []byte(secret)) {
			t.Errorf("%s received the key", name)
		}
	}
}

// sendWithHeader sends a request with the key in the given header.
func (s *system) sendWithHeader(t *testing.T, path, header string) {
	t.Helper()
	method, body := http.MethodPost, completionBody("hello", 1, false)
	if strings.Contains(path, "lookup") || strings.Contains(path, "jobs") {
		method, body = http.MethodGet, ""
	}
	if strings.Contains(path, "chat") {
		body = `{"model":"` + modelName + `","max_tokens":1,"messages":[{"role":"user","content":"hello"}]}`
	}
	req, err := http.NewRequestWithContext(t.Context(), method, s.routers[0].url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	value := s.key
	if strings.HasSuffix(header, "Authorization") {
		value = "Bearer " + s.key
	}
	req.Header.Set(header, value)
	resp, err := s.caller.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if header == "Authorization" && resp.StatusCode/100 != 2 {
		t.Errorf("%s %s: status %d", method, path, resp.StatusCode)
	}
}

// recordedBytes returns all bytes that backend servers and sidecars received, and all
// logs.
func (s *system) recordedBytes() map[string][]byte {
	seen := make(map[string][]byte)
	var servers []server
	for _, e := range s.engines {
		servers = append(servers, e.server)
	}
	for _, v := range s.services {
		servers = append(servers, v.server)
	}
	for _, v := range servers {
		seen["backend server of "+v.vm.Name] = []byte(v.captured.String())
		seen["sidecar "+v.vm.Name] = v.link.Recorded()
		seen["log of "+v.vm.Name] = []byte(v.sidecar.log.String())
	}
	for _, r := range s.routers {
		seen["log of "+r.name] = []byte(r.log.String())
	}
	return seen
}
