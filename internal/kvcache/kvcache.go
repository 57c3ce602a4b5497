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

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

const (
	// holdTime is how long an engine is expected to keep a part that it used. Trials
	// with 4 and 8 seconds had more parts read again.
	holdTime = 2 * time.Second
	// saveInterval is how long a part in the store is taken to be there. The store
	// drops what was not used for longest.
	saveInterval = 15 * time.Second
	// keptTime is how long a part that was saved is looked for in the store first.
	keptTime = time.Minute
	// readingTime is how long an engine is taken to be reading a prompt that it was
	// sent: longer than a queue at the peak and a long prompt need.
	readingTime = 2 * time.Second
	// maxOwnShare is how many times longer than the shared parts a request's own may
	// be for a save.
	maxOwnShare = 2.0
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
	told    time.Time // to other gateways
	reading sighting  // the engine that was sent the prompt while no other had it
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
	Parts  []string // ids of the shared parts, in order
	Holder Holder
	Saved  bool // it was told to save the parts to the store
}

// last returns the id of the last shared part.
func (u *Use) last() string { return u.Parts[len(u.Parts)-1] }

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

// Prompt is the part of a prompt that requests share, with what is the request's
// own.
type Prompt struct {
	Salt         string
	Parts        []string // ids of the shared parts, in order; not empty
	SharedTokens int64
	OwnTokens    int64
}

// Last returns the id of the last shared part.
func (p *Prompt) Last() string { return p.Parts[len(p.Parts)-1] }

// StoreOf returns the store that keeps the prompt, of several the one with the
// highest rendezvous hash; empty if there is none.
func (p *Prompt) StoreOf(stores []*deployment.KVStore) string {
	address, highest := "", uint64(0)
	for _, store := range stores {
		if hash := xxhash.Sum64String(p.Last() + " " + store.Address); address == "" || hash > highest {
			address, highest = store.Address, hash
		}
	}
	return address
}

// Plan says from where target fetches the shared parts, and whether it saves them.
// usable says whether another engine may be asked.
func (d *Directory) Plan(p *Prompt, target Holder, store string, usable func(Holder) bool, now time.Time) Sources {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Sources{
		FetchFrom: d.source(p, target, store, usable, now),
		SaveTo:    d.saveTo(p, store, now),
	}
}

// saveTo returns the store if the prompt should be saved. A request's own part
// takes room there, too, which a long one is not worth.
func (d *Directory) saveTo(p *Prompt, store string, now time.Time) string {
	r, ok := d.records.Get(key{p.Salt, p.Last()})
	if ok && now.Sub(r.saved) <= saveInterval || float64(p.OwnTokens) > maxOwnShare*float64(p.SharedTokens) {
		return ""
	}
	return store
}

// source returns from where to fetch: for the deepest part that is known anywhere,
// another engine that used it lately, else the store. An engine that holds the parts
// itself fetches nothing, so that the store may be named in any case.
func (d *Directory) source(p *Prompt, target Holder, store string, usable func(Holder) bool, now time.Time) string {
	for i := len(p.Parts) - 1; i >= 0; i-- {
		r, ok := d.records.Get(key{p.Salt, p.Parts[i]})
		if !ok {
			continue
		}
		if r.holds(target, now) {
			return store
		}
		for _, s := range r.holders {
			if s.holder.ID != "" && now.Sub(s.at) < holdTime && usable(s.holder) {
				return s.holder.Address
			}
		}
		if now.Sub(r.saved) < keptTime {
			return store
		}
	}
	return store
}

func (r *record) holds(holder Holder, now time.Time) bool {
	for _, s := range r.holders {
		if s.holder == holder && now.Sub(s.at) < holdTime {
			return true
		}
	}
	return false
}

// Places are where the prompt up to a part is expected to be.
type Places struct {
	Holders [2]Holder // engines that used it lately; those without an id are none
	Kept    bool      // in the store
	Reader  Holder    // reads it now for a request of this gateway; without an id: none
}

// Places returns where the prompt up to the part is expected to be.
func (d *Directory) Places(salt, part string, now time.Time) Places {
	d.mu.Lock()
	defer d.mu.Unlock()
	var places Places
	r, ok := d.records.Get(key{salt, part})
	if !ok {
		return places
	}
	for i, s := range r.holders {
		if now.Sub(s.at) < holdTime {
			places.Holders[i] = s.holder
		}
	}
	places.Kept = now.Sub(r.saved) < keptTime
	if now.Sub(r.reading.at) < readingTime {
		places.Reader = r.reading.holder
	}
	return places
}

// Reading notes that an engine was sent a prompt whose last shared part no other is
// known to have. The reading ends with the engine's first event, told by Used.
func (d *Directory) Reading(salt, part string, holder Holder, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record(salt, part).reading = sighting{holder: holder, at: now}
}

// record returns the record of a part, a new one if there is none. The caller holds
// the lock.
func (d *Directory) record(salt, part string) *record {
	k := key{salt, part}
	r, ok := d.records.Get(k)
	if !ok {
		r = &record{}
		d.records.Add(k, r)
	}
	return r
}

// Used notes a use by a request of this gateway.
func (d *Directory) Used(use *Use, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	news := d.isNews(use, now)
	d.note(use, now)
	if !news {
		return
	}
	d.record(use.Salt, use.last()).told = now
	d.news[d.made%maxNews] = *use
	d.made++
}

// tellInterval is the time between two words on the same part in the same engine.
const tellInterval = holdTime / 2

// isNews says whether other gateways should be told of a use: the part is in another
// engine than before, is being saved, or was not told of for a while.
func (d *Directory) isNews(use *Use, now time.Time) bool {
	r, ok := d.records.Get(key{use.Salt, use.last()})
	return !ok || use.Saved || r.holders[0].holder != use.Holder || now.Sub(r.told) >= tellInterval
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
	for i, part := range use.Parts {
		r := d.record(use.Salt, part)
		r.used(use.Holder, now)
		if use.Saved && i == len(use.Parts)-1 {
			r.saved = now
		}
	}
}

func (r *record) used(holder Holder, now time.Time) {
	if r.holders[0].holder != holder {
		r.holders[1] = r.holders[0]
	}
	r.holders[0] = sighting{holder: holder, at: now}
	r.reading = sighting{}
}
