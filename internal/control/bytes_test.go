package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/configstore"
	"github.com/wasabigate/wasabigate/internal/shard"
)

const (
	// maxBytesPerSecond bounds a daemon's control traffic.
	maxBytesPerSecond = 10_000
	// changeInterval is the time between two changes of the configuration at
	// 29,000 changes a day.
	changeInterval = 24 * time.Hour / 29_000
	workspaces     = 270
)

// largeDocument returns a document with as many workspaces and keys as the largest
// site has. Documents for different changes differ in one workspace each.
func largeDocument(change int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	text := []byte("[environment]\nname = large\n")
	for i := range workspaces {
		rate := 100
		if i == change%workspaces {
			rate = 200 + change
		}
		text = fmt.Appendf(text, "[workspace w%d]\nrate = %d\nburst = 10000\n", i, rate)
		text = fmt.Appendf(text, "[key k%d]\nworkspace = w%d\nsha256 = %016x%016x%016x%016x\n",
			i, i, random.Uint64(), random.Uint64(), random.Uint64(), random.Uint64())
	}
	return text
}

func productionCodec() Codec {
	return Codec{
		OpenEnvelope: configstore.Open,
		EncodeTable:  shard.Encode,
		DecodeTable:  shard.Decode,
		Delta:        configstore.Delta,
		ApplyDelta:   configstore.ApplyDelta,
	}
}

// writeDocument writes a document to the key-value service.
func (cl *cluster) writeDocument(t *testing.T, text []byte) {
	t.Helper()
	store := configstore.New(cl.kv, "large")
	base, err := store.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Apply(t.Context(), base, text, "test"); err != nil {
		t.Fatal(err)
	}
}

func TestControlTrafficStaysWithinItsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		cl.codec, cl.configKey = productionCodec(), configstore.Key("large")
		cl.writeDocument(t, largeDocument(0))
		var addresses []string
		for i := range 4 {
			addresses = append(addresses, fmt.Sprintf("r%d", i))
			cl.start(t, addresses[i], config.RoleRouter)
		}
		for i := range 16 {
			addresses = append(addresses, fmt.Sprintf("s%d", i))
			cl.start(t, addresses[4+i], config.RoleSidecar)
		}
		time.Sleep(10 * time.Second)
		cl.network.resetBytes()
		const changes = 10
		for change := range changes {
			cl.writeDocument(t, largeDocument(change+1))
			time.Sleep(changeInterval)
		}
		cl.checkRevisionEverywhere(t, changes+1)
		perDaemon := float64(cl.network.totalBytes()) / float64(len(addresses)) / (changes * changeInterval).Seconds()
		t.Logf("%d daemons, a change every %v: %.0f bytes per second per daemon, sent and received", len(addresses), changeInterval, perDaemon)
		if perDaemon > maxBytesPerSecond {
			t.Errorf("%.0f bytes per second per daemon, want %d at most", perDaemon, maxBytesPerSecond)
		}
		cl.stop()
	})
}

func TestDeltaToAnUnknownBaseIsPulledWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := startCluster(t)
		defer cl.stop()
		cl.network.isolate("s1")
		for number := uint64(2); number < 3*maxArchivedRevisions; number++ {
			cl.writeRevision(t, number)
			time.Sleep(time.Second)
		}
		cl.network.reconnect("s1")
		time.Sleep(maxPropagationTime)
		cl.checkRevisionEverywhere(t, 3*maxArchivedRevisions-1)
	})
}
