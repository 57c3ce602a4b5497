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
	news    [maxNews]Use // the latest uses of this gateway, a ring
	made    uint64       // uses of this gateway so far
}

// Use says that an engine read or fetched a prompt up to a part.
type Use struct {
	Salt   string
	Part   string
	Holder Holder
	Saved  bool // it was told to save the parts to the store
}

// maxNews bounds the uses that wait to be told to other gateways: those of a second
// at five hundred requests a second.
const maxNews = 512

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

// Knows says whether some engine or the store is expected to have the prompt up
// to the part.
func (d *Directory) Knows(salt, part string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.records.Get(key{salt, part})
	return ok && (now.Sub(r.saved) < saveInterval || now.Sub(r.holders[0].at) < holdTime)
}

// Used notes a use by a request of this gateway.
func (d *Directory) Used(use *Use, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.note(use, now)
	d.news[d.made%maxNews] = *use
	d.made++
}

// Heard notes a use that another gateway told of.
func (d *Directory) Heard(use *Use, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.note(use, now)
}

// News returns the uses of this gateway after the first ones, which were told
// already, and how many there are by now.
func (d *Directory) News(told uint64) ([]Use, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.made-told > maxNews {
		told = d.made - maxNews
	}
	uses := make([]Use, 0, d.made-told)
	for ; told < d.made; told++ {
		uses = append(uses, d.news[told%maxNews])
	}
	return uses, d.made
}

// note remembers a use. The caller holds the lock.
func (d *Directory) note(use *Use, now time.Time) {
	k := key{use.Salt, use.Part}
	r, ok := d.records.Get(k)
	if !ok {
		r = &record{}
		d.records.Add(k, r)
	}
	if r.holders[0].holder != use.Holder {
		r.holders[1] = r.holders[0]
	}
	r.holders[0] = sighting{holder: use.Holder, at: now}
	if use.Saved {
		r.saved = now
	}
}
