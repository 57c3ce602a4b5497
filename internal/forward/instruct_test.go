package forward

import (
	"context"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/kvcache"
)

// promptRequest is a request with a shared part that no engine is known to have.
func promptRequest() *Request {
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

// An engine that was sent a prompt which none has counts as its reader, and the next
// request with the prompt follows, although another engine is the prompt's home.
func TestRequestsFollowTheReader(t *testing.T) {
	f := &fakeBackend{steps: []step{{silent: true}}}
	req := promptRequest()
	cache := kvcache.NewDirectory()
	relay := NewRelay(Relay{
		Source: func() *deployment.Snapshot { return req.Snapshot },
		Fleet:  fleet.New(), Cache: cache, Backend: f, Budget: &fakeBudget{left: plenty},
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // the fake backend gives up at once, the reading goes on
	send := func() string {
		if _, err := (Match{}).Handle(ctx, promptRequest(), relay); err == nil {
			t.Fatal("an answer, want none")
		}
		return f.calls[len(f.calls)-1].ServerID
	}
	home := send()
	salt := kvcache.Salt("m", 1, nil)
	if reader := cache.Places(salt, "shared", time.Now()).Reader.ID; reader != home {
		t.Errorf("%q counts as the reader, want %q", reader, home)
	}
	other := "a"
	if home == other {
		other = "b"
	}
	cache.Reading(salt, "shared", kvcache.Holder{ID: other, Address: other + ":1"}, time.Now())
	if server := send(); server != other {
		t.Errorf("sent to %s while %s reads the prompt", server, other)
	}
}
