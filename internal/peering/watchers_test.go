package peering

import (
	"fmt"
	"testing"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/roster"
)

// A gateway that does not watch the store turns to other watchers when those it has chosen
// do not answer.
func TestWatchersThatDoNotAnswer(t *testing.T) {
	x := New(Options{Self: "self"})
	var listed []deployment.Gateway
	for i := range 8 {
		listed = append(listed, deployment.Gateway{Address: fmt.Sprint("g", i)})
	}
	failing := make(map[string]bool)
	for range len(roster.Watchers(listed)) - maxWatcherCalls {
		chosen := x.chooseWatchers(listed)
		if len(chosen) != maxWatcherCalls || failing[chosen[0]] || failing[chosen[1]] {
			t.Fatalf("chosen %v, failing %v", chosen, failing)
		}
		failing[chosen[0]] = true
		x.peer(chosen[0]).failing = true
	}
}
