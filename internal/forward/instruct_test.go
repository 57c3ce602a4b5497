package forward

import (
	"context"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/placement"
)

// requestWithPrompt returns a request with a shared part that no engine has cached.
func requestWithPrompt() *Request {
	req := testRequest(testRoute(deployment.Stream, false))
	req.Model = "m"
	req.Parts = []Part{{ID: "shared", Tokens: 6300}, {ID: "own", Tokens: 300}}
	req.PromptTokens = 6600
	req.Snapshot.Config.Service("s").Engine = &deployment.Engine{}
	for _, server := range req.Snapshot.Servers {
		server.Weights = map[string]uint64{"m": 1}
	}
	return req
}

// A request whose time is up by the moment it is sent does not give the server the time that
// its client gave when it sent it.
func TestNoTimeLeft(t *testing.T) {
	for _, left := range []time.Duration{-time.Second, 0, time.Microsecond} {
		req := testRequest(testRoute(deployment.Idempotent, false))
		now := time.Now()
		req.Deadline = now.Add(left)
		relay := NewRelay(Relay{ProcessEnded: neverEnded, Fleet: fleet.New(), Cache: kvcache.NewDirectory()})
		active := &activeRequest{relay: relay, req: req, service: "s"}
		if call := active.newCall(&placement.Choice{Server: &placement.Server{ID: "a"}}, now); call.Timeout <= 0 || call.Timeout > time.Millisecond {
			t.Errorf("%v left: the server is given %v", left, call.Timeout)
		}
	}
}

// While an engine prefills a prompt that none has cached, the next request with the same
// prompt goes to that engine, although another one is the prompt's home. Otherwise a
// second engine would compute the same prefix.
func TestRequestsFollowPrefillingEngine(t *testing.T) {
	f := &fakeBackend{steps: []step{{silent: true}}}
	req := requestWithPrompt()
	snapshot := req.Snapshot
	cache := kvcache.NewDirectory()
	relay := NewRelay(Relay{ProcessEnded: neverEnded,
		Source: func() *deployment.Snapshot { return snapshot },
		Fleet:  fleet.New(), Cache: cache, Backend: f, Budget: &fakeBudget{left: ampleRetries},
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // the fake backend returns at once; the engine still counts as prefilling
	send := func() string {
		if _, err := (Match{}).Handle(ctx, requestWithPrompt(), relay); err == nil {
			t.Fatal("the request succeeded, want an error")
		}
		return f.calls[len(f.calls)-1].ServerID
	}
	home := send()
	salt := kvcache.Salt("m", 1, &deployment.Config{}, nil)
	if prefilling := cache.Locations(salt, "shared", time.Now()).Prefilling.ID; prefilling != home {
		t.Errorf("%q counts as prefilling the prompt, want %q", prefilling, home)
	}
	other := "a"
	if home == other {
		other = "b"
	}
	cache.RecordPrefill(salt, "shared", kvcache.Holder{ID: other, Address: other + ":1"}, time.Now())
	if server := send(); server != other {
		t.Errorf("sent to %s while %s prefills the prompt", server, other)
	}
}
