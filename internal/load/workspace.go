package load

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"regexp"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/config"
)

// workspace holds the key and the limits of a workspace that sends requests.
type workspace struct {
	name  string
	key   string
	rate  int64 // tokens per second
	burst int64 // tokens
}

var demoKey = regexp.MustCompile(`(?m)^# demo key: (\S+)$`)

// readWorkspaces returns the workspaces of a document whose keys are in its
// comments, except those that serve as the bucket of an open route.
func readWorkspaces(path string) ([]workspace, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "document")
	}
	document, err := config.Parse(text)
	if err != nil {
		return nil, errors.Wrap(err, "document")
	}
	open := make(map[string]bool)
	for i := range document.Routes {
		if document.Routes[i].Workspace != "" {
			open[document.Routes[i].Workspace] = true
		}
	}
	keys := demoKeys(text, document)
	var workspaces []workspace
	for i := range document.Workspaces {
		w := &document.Workspaces[i]
		if keys[w.Name] != "" && !open[w.Name] {
			workspaces = append(workspaces, workspace{name: w.Name, key: keys[w.Name], rate: w.Rate, burst: w.Burst})
		}
	}
	if len(workspaces) == 0 {
		return nil, errors.Errorf("%s holds no demo keys", path)
	}
	return workspaces, nil
}

// demoKeys returns the keys in a document's comments by workspace.
func demoKeys(text []byte, document *config.Document) map[string]string {
	keys := make(map[string]string)
	for _, match := range demoKey.FindAllSubmatch(text, -1) {
		sum := sha256.Sum256(match[1])
		for i := range document.Keys {
			if hex.EncodeToString(document.Keys[i].SHA256[:]) == hex.EncodeToString(sum[:]) {
				keys[document.Keys[i].Workspace] = string(match[1])
			}
		}
	}
	return keys
}

// bucket is an exact token bucket of a workspace over all routers, by which
// refusals are checked. Only admitted requests take tokens from it.
type bucket struct {
	rate, burst float64
	level       float64
	refilledAt  time.Duration
}

// newBucket returns a full bucket, or an empty one for a system that has just
// started with empty buckets.
func newBucket(w *workspace, full bool) *bucket {
	b := &bucket{rate: float64(w.rate), burst: float64(w.burst)}
	if full {
		b.level = b.burst
	}
	return b
}

// refill adds the tokens due by a time since the start. Times may arrive out of
// order; earlier ones are ignored.
func (b *bucket) refill(at time.Duration) {
	if at <= b.refilledAt {
		return
	}
	b.level = min(b.burst, b.level+b.rate*(at-b.refilledAt).Seconds())
	b.refilledAt = at
}

// admits reports whether the bucket holds the cost at that time.
func (b *bucket) admits(at time.Duration, cost float64) bool {
	b.refill(at)
	return b.level >= cost
}

func (b *bucket) take(cost float64) { b.level -= cost }

// refund undoes a take whose request was refused.
func (b *bucket) refund(cost float64) { b.level = min(b.burst, b.level+cost) }
