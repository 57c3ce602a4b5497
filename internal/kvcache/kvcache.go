// Package kvcache decides from where an engine fetches the cached parts of a
// prompt, and when it saves them to the store of kept KV cache.
//
// The load pattern it answers: engines evict parts within seconds, and reading a
// part again costs far more than moving it. Parts are kept apart by a salt of
// workspace, model and weights version, and by the incarnation that held them.
package kvcache

import (
	"strconv"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

const (
	// holdTime is how long an engine is expected to keep a part that it used: a
	// third of the shortest time in which half of an engine's memory turns over.
	holdTime = 4 * time.Second
	// saveInterval is how long a part in the store is taken to be there. The store
	// drops what was not used for longest.
	saveInterval = 30 * time.Second
	// maxParts bounds the memory: 20,000 parts of 150 bytes are 3 MB.
	maxParts = 20_000
)

// Salt returns the text that separates KV cache which must not be shared. An
// isolated workspace has its own.
func Salt(model string, weights uint64, workspace *deployment.Workspace) string {
	salt := model + "/" + strconv.FormatUint(weights, 10)
	if workspace != nil && workspace.Isolated {
		salt += "/" + workspace.Name
	}
	return salt
}

// Holder is an incarnation of an engine.
type Holder struct {
	ID      string
	Address string
}

// Sources are where a request's cached parts come from and go to.
type Sources struct {
	FetchFrom string // address; empty: nowhere
	SaveTo    string
}

type key struct{ salt, part string }

type record struct {
	holders [2]sighting // the latest first
	saved   time.Time
}

type sighting struct {
	holder Holder
	at     time.Time
}

// Directory remembers which engines used which parts. It is safe for concurrent
// use.
type Directory struct {
	mu      sync.Mutex
	records *lru.Cache[key, *record]
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	records, err := lru.New[key, *record](maxParts)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &Directory{records: records}
}

// Plan says from where target fetches the prompt up to its last shared part.
// usable says whether another engine may be asked.
func (d *Directory) Plan(salt, part string, target Holder, store string, usable func(Holder) bool, now time.Time) Sources {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.records.Get(key{salt, part})
	if !ok {
		return Sources{FetchFrom: store, SaveTo: store}
	}
	var sources Sources
	if store != "" && now.Sub(r.saved) > saveInterval {
		sources.SaveTo = store
	}
	if r.holds(target, now) {
		return sources
	}
	sources.FetchFrom = store
	for _, s := range r.holders {
		if s.holder.ID != "" && s.holder.ID != target.ID && now.Sub(s.at) < holdTime && usable(s.holder) {
			sources.FetchFrom = s.holder.Address
			break
		}
	}
	return sources
}

func (r *record) holds(holder Holder, now time.Time) bool {
	for _, s := range r.holders {
		if s.holder == holder && now.Sub(s.at) < holdTime {
			return true
		}
	}
	return false
}

// Used notes that an engine has read or fetched the prompt up to the part, and
// whether it was told to save it.
func (d *Directory) Used(salt, part string, holder Holder, saved bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := key{salt, part}
	r, ok := d.records.Get(k)
	if !ok {
		r = &record{}
		d.records.Add(k, r)
	}
	if r.holders[0].holder != holder {
		r.holders[1] = r.holders[0]
	}
	r.holders[0] = sighting{holder: holder, at: now}
	if saved {
		r.saved = now
	}
}
