package control

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/configstore"
)

const restoreEnvironment = "trial"

func documentText(name string) []byte {
	return []byte("[environment]\nname = " + name + "\n[workspace w]\nrate = 1\nburst = 10\n" +
		"[key k]\nworkspace = w\nsha256 = " + strings.Repeat("ab", 32) + "\n")
}

// A document stays in force at all daemons, also at those that start later, after each of
// several restores of the key-value service that lose it, and the next change is in force
// in time. A withdrawn key stays withdrawn.
func TestDocumentLostInARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		store := configstore.New(cl.kv, restoreEnvironment)
		cl.codec.OpenEnvelope, cl.codec.Delta, cl.codec.ApplyDelta = configstore.Open, configstore.Delta, configstore.ApplyDelta
		cl.configKey = configstore.Key(restoreEnvironment)
		cl.restore = func(ctx context.Context, inForce *config.Revision) (bool, error) {
			return store.Restore(ctx, inForce, "test")
		}
		apply := func(name string) *configstore.Result {
			base, err := store.Read(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			result, err := store.Apply(t.Context(), base, documentText(name), "test")
			if err != nil {
				t.Fatal(err)
			}
			return result
		}
		apply("first")
		for _, address := range []string{"r1", "r2", "r3"} {
			cl.start(t, address, config.RoleRouter)
		}
		cl.start(t, "s1", config.RoleSidecar)
		time.Sleep(10 * time.Second)
		for restores := range 4 {
			lost := apply(fmt.Sprint("lost ", restores)).Revision
			if restores == 1 {
				withdrawn, err := store.Withdraw(t.Context(), "test", "k")
				if err != nil {
					t.Fatal(err)
				}
				lost = withdrawn.Revision
			}
			time.Sleep(maxPropagationTime)
			cl.checkRevisionEverywhere(t, lost.Number)
			cl.kv.Restore(2 * maxPropagationTime)
			if restores == 3 {
				apply("before it is restored")
			}
			cl.start(t, fmt.Sprint("r", 4+restores), config.RoleRouter)
			time.Sleep(maxPropagationTime)
			state, err := store.Read(t.Context())
			if err != nil || state.Number() < lost.Number {
				t.Fatalf("restore %d: the service has revision %d, %v, want at least %d", restores+1, state.Number(), err, lost.Number)
			}
			cl.checkRevisionEverywhere(t, state.Number())
			next := apply(fmt.Sprint("next ", restores)).Revision
			time.Sleep(maxPropagationTime)
			cl.checkRevisionEverywhere(t, next.Number)
			if restores >= 1 && !next.KeyWithdrawn("k") {
				t.Errorf("restore %d: the withdrawn key is back", restores+1)
			}
			time.Sleep(2 * maxPropagationTime)
		}
		cl.stop()
	})
}
