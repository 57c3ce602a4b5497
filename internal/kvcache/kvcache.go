// Package kvcache decides from where an engine fetches the cached parts of a
// prompt, and when it saves them to the KV cache store. A part is a section of a
// prompt that many requests share.
//
// Engines evict parts within seconds, and prefilling a part again costs far more
// than moving it. Parts are separated by a salt of model, weights version and, for
// isolated workspaces, workspace. Each incarnation of an engine is a separate holder.
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
	// holdTime is how long an engine is expected to hold a part that it used. At 4 s or
	// 8 s, more parts are prefilled again.
	holdTime = 2 * time.Second
	// saveInterval is the time after which a part is saved to the store again, as the
	// store evicts the least recently used parts.
	saveInterval = 15 * time.Second
	// storedTime is how long a saved part is expected to be in the store.
	storedTime = time.Minute
	// prefillTimeout is how long an engine is expected to be prefilling a prompt that it
	// was sent: longer than the queue at peak load and a long prompt need.
	prefillTimeout = 2 * time.Second
	// maxOwnRatio is the largest ratio of a request's own tokens to its shared ones at
	// which the prompt is saved.
	maxOwnRatio = 2.0
	// minTransferTokens is the least number of shared tokens that are worth a transfer. An
	// engine prefills fewer sooner than a transfer starts, and never waits for its link.
	minTransferTokens = 128
	// maxParts bounds the memory of a Directory: 20,000 parts of 150 bytes are 3 MB.
	maxParts = 20_000
)

// Salt returns a text that differs for prompts which must not share KV cache. An
// isolated workspace has its own. The workspace, nil for none, must be one of config.
func Salt(model string, weights uint64, config *deployment.Config, workspace *deployment.Workspace) string {
	salt := model + "/" + strconv.FormatUint(weights, 10)
	if workspace != nil && workspace.Isolated {
		return salt + "/" + workspace.Name
	}
	return salt + config.SharingGroup
}

// Holder is an incarnation of an engine.
type Holder struct {
	ID      string
	Address string
}

// Transfers is where an engine fetches the cached parts of a prompt from, and where it
// saves them.
type Transfers struct {
	FetchFrom string // address; empty: nowhere
	SaveTo    string // address of a store; empty: nowhere
}

// key identifies a part under a salt.
type key struct{ salt, part string }

// record is the known state of a part.
type record struct {
	holders    [2]holderUse // latest first
	savedAt    time.Time
	reportedAt time.Time // last report to other gateways
	prefill    holderUse // the engine that was sent the prompt while no engine had it
}

// holderUse is a use of a part by an engine.
type holderUse struct {
	holder Holder
	usedAt time.Time
}

// Directory records which engines used which parts. It is safe for concurrent use.
type Directory struct {
	mu         sync.Mutex
	records    *lru.Cache[key, *record]
	recentUses [maxPendingUses]Use // ring of the latest uses to report
	useCount   uint64              // number of uses to report so far
}

// Use records that an engine has prefilled or fetched a prompt up to a part.
type Use struct {
	Salt   string
	Parts  []string // ids of the shared parts, in order
	Holder Holder
	Saved  bool // the engine was asked to save the parts to the store
}

// last returns the id of the last shared part.
func (u *Use) last() string { return u.Parts[len(u.Parts)-1] }

// maxPendingUses bounds the uses that are not yet reported to other gateways: those of
// one second at 500 requests per second.
const maxPendingUses = 512

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	records, err := lru.New[key, *record](maxParts)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &Directory{records: records}
}

// Prompt describes the shared parts of a request's prompt, and the length of its own.
type Prompt struct {
	Salt         string
	Parts        []string // ids of the shared parts, in order; not empty
	SharedTokens int64
	OwnTokens    int64
}

// Last returns the id of the last shared part.
func (p *Prompt) Last() string { return p.Parts[len(p.Parts)-1] }

// StoreOf returns the address of the store for the prompt, the one with the highest
// rendezvous hash; empty if there is none.
func (p *Prompt) StoreOf(stores []*deployment.KVStore) string {
	address, highest := "", uint64(0)
	for _, store := range stores {
		if hash := xxhash.Sum64String(p.Last() + " " + store.Address); address == "" || hash > highest {
			address, highest = store.Address, hash
		}
	}
	return address
}

// Plan returns where target fetches the shared parts from, and where it saves them.
// usable reports whether they may be fetched from another engine.
//
// It answers the load in which long prompts fill the links: transfers wait behind each
// other there, and a short urgent prompt that waits with them misses its deadline.
func (d *Directory) Plan(p *Prompt, target Holder, store string, usable func(Holder) bool, now time.Time) Transfers {
	if p.SharedTokens < minTransferTokens {
		return Transfers{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return Transfers{
		FetchFrom: d.fetchSource(p, target, store, usable, now),
		SaveTo:    d.saveTo(p, store, now),
	}
}

// saveTo returns the store if the prompt should be saved. The request's own tokens take
// space there, too, so a prompt with many of them is not saved.
func (d *Directory) saveTo(p *Prompt, store string, now time.Time) string {
	r, ok := d.records.Get(key{p.Salt, p.Last()})
	if ok && now.Sub(r.savedAt) <= saveInterval || float64(p.OwnTokens) > maxOwnRatio*float64(p.SharedTokens) {
		return ""
	}
	return store
}

// fetchSource returns the address to fetch from: for the deepest part that is known
// anywhere, another engine that used it recently, else the store. An engine that
// holds the parts itself fetches nothing, so the store may be returned in any case.
func (d *Directory) fetchSource(p *Prompt, target Holder, store string, usable func(Holder) bool, now time.Time) string {
	for i := len(p.Parts) - 1; i >= 0; i-- {
		r, ok := d.records.Get(key{p.Salt, p.Parts[i]})
		if !ok {
			continue
		}
		if r.holds(target, now) {
			return store
		}
		for _, use := range r.holders {
			if use.holder.ID != "" && now.Sub(use.usedAt) < holdTime && usable(use.holder) {
				return use.holder.Address
			}
		}
		if now.Sub(r.savedAt) < storedTime {
			return store
		}
	}
	return store
}

// holds reports whether the holder is expected to hold the part.
func (r *record) holds(holder Holder, now time.Time) bool {
	for _, use := range r.holders {
		if use.holder == holder && now.Sub(use.usedAt) < holdTime {
			return true
		}
	}
	return false
}

// Locations is where a prompt up to a part is expected to be cached.
type Locations struct {
	Holders    [2]Holder // engines that used it recently; entries without an id are empty
	Stored     bool      // in the store
	Prefilling Holder    // prefills it for a request of this gateway; without an id: none
}

// Locations returns where the prompt up to the part is expected to be cached.
func (d *Directory) Locations(salt, part string, now time.Time) Locations {
	d.mu.Lock()
	defer d.mu.Unlock()
	var locations Locations
	r, ok := d.records.Get(key{salt, part})
	if !ok {
		return locations
	}
	for i, use := range r.holders {
		if now.Sub(use.usedAt) < holdTime {
			locations.Holders[i] = use.holder
		}
	}
	locations.Stored = now.Sub(r.savedAt) < storedTime
	if now.Sub(r.prefill.usedAt) < prefillTimeout {
		locations.Prefilling = r.prefill.holder
	}
	return locations
}

// RecordPrefill records that an engine was sent a prompt whose last shared part no engine
// is known to hold. The prefill ends with the engine's first event, recorded as a use.
func (d *Directory) RecordPrefill(salt, part string, holder Holder, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record(salt, part).prefill = holderUse{holder: holder, usedAt: now}
}

// record returns the record of a part, which it creates if needed. The caller holds
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

// RecordUse records a use by a request of this gateway.
func (d *Directory) RecordUse(use *Use, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	report := d.shouldReport(use, now)
	d.applyUse(use, now)
	if !report {
		return
	}
	d.record(use.Salt, use.last()).reportedAt = now
	d.recentUses[d.useCount%maxPendingUses] = *use
	d.useCount++
}

// reportInterval is the minimum time between two reports of the same part in the same
// engine.
const reportInterval = holdTime / 2

// shouldReport reports whether a use is to be sent to other gateways: the part is in
// another engine than before, is being saved, or was last reported reportInterval ago.
func (d *Directory) shouldReport(use *Use, now time.Time) bool {
	r, ok := d.records.Get(key{use.Salt, use.last()})
	return !ok || use.Saved || r.holders[0].holder != use.Holder || now.Sub(r.reportedAt) >= reportInterval
}

// MergeUse records a use that another gateway reported.
func (d *Directory) MergeUse(use *Use, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyUse(use, now)
}

// UsesSince returns the uses to report to other gateways that follow the first reported
// ones, but at most the latest maxPendingUses, and the number of all uses so far.
func (d *Directory) UsesSince(reported uint64) ([]Use, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.useCount-reported > maxPendingUses {
		reported = d.useCount - maxPendingUses
	}
	uses := make([]Use, 0, d.useCount-reported)
	for ; reported < d.useCount; reported++ {
		uses = append(uses, d.recentUses[reported%maxPendingUses])
	}
	return uses, d.useCount
}

// applyUse updates the records of a use's parts. The caller holds the lock.
func (d *Directory) applyUse(use *Use, now time.Time) {
	for i, part := range use.Parts {
		r := d.record(use.Salt, part)
		r.addUse(use.Holder, now)
		if use.Saved && i == len(use.Parts)-1 {
			r.savedAt = now
		}
	}
}

// addUse makes the holder the latest one, and ends the prefill.
func (r *record) addUse(holder Holder, now time.Time) {
	if r.holders[0].holder != holder {
		r.holders[1] = r.holders[0]
	}
	r.holders[0] = holderUse{holder: holder, usedAt: now}
	r.prefill = holderUse{}
}
