package prefix

const (
	// maxHolders is the number of holders remembered of one block.
	maxHolders = 16
	// holdersPerBlock is the mean number of holders that there is memory for.
	holdersPerBlock = 2
	// none is the index of no entry and no holder.
	none = 0
)

// entry is a block of the table.
type entry struct {
	block        uint64
	newer, older uint32 // neighbours by use
	holders      uint32 // first of the list
	heated       uint32 // tick of the last change of heat
	heat         float32
}

func (e *entry) heatAt(now uint32) float64 { return float64(e.heat) * decay(now-e.heated) }

// holder is a server that holds a block. It counts while the generation is the
// server's.
type holder struct {
	server     uint32
	generation uint32
	learned    uint32 // tick
	next       uint32
}

// blockTable keeps blocks with their holders by least recent use. Entries and
// holders lie in arrays that are allocated once; those that are not in use form
// lists.
type blockTable struct {
	find        map[uint64]uint32
	entries     []entry // the first one is the head of the ring by use
	holders     []holder
	freeEntries uint32
	freeHolders uint32
}

func newBlockTable(blocks int) blockTable {
	t := blockTable{
		find:    make(map[uint64]uint32, blocks),
		entries: make([]entry, blocks+1),
		holders: make([]holder, max(holdersPerBlock*blocks, maxHolders)+1),
	}
	for i := len(t.holders) - 1; i > none; i-- {
		t.release(uint32(i))
	}
	for i := len(t.entries) - 1; i > none; i-- {
		t.entries[i].newer = t.freeEntries
		t.freeEntries = uint32(i)
	}
	return t
}

func (t *blockTable) firstHolder(block uint64) uint32 {
	e, ok := t.find[block]
	if !ok {
		return none
	}
	return t.entries[e].holders
}

// touch returns the block's entry, made if absent, as the most recently used.
func (t *blockTable) touch(block uint64) uint32 {
	e, ok := t.find[block]
	if ok {
		t.unlink(e)
	} else {
		e = t.take()
		t.entries[e] = entry{block: block}
		t.find[block] = e
	}
	t.link(e)
	return e
}

// take returns an entry that is not in use, the least recently used one if need
// be.
func (t *blockTable) take() uint32 {
	if t.freeEntries == none {
		t.evictOldest()
	}
	e := t.freeEntries
	t.freeEntries = t.entries[e].newer
	return e
}

// evictOldest frees the least recently used entry.
func (t *blockTable) evictOldest() {
	e := t.entries[none].newer
	t.unlink(e)
	t.dropHolders(e, func(*holder) bool { return true })
	delete(t.find, t.entries[e].block)
	t.entries[e] = entry{newer: t.freeEntries}
	t.freeEntries = e
}

// link makes e the most recently used entry.
func (t *blockTable) link(e uint32) {
	last := t.entries[none].older
	t.entries[e].newer, t.entries[e].older = none, last
	t.entries[last].newer = e
	t.entries[none].older = e
}

func (t *blockTable) unlink(e uint32) {
	newer, older := t.entries[e].newer, t.entries[e].older
	t.entries[newer].older = older
	t.entries[older].newer = newer
}

// heat adds one to the heat of an entry.
func (t *blockTable) heat(e, now uint32) {
	t.entries[e].heat = float32(t.entries[e].heatAt(now) + 1)
	t.entries[e].heated = now
}

// addHolder puts h first in the list of an entry.
func (t *blockTable) addHolder(e uint32, h holder) {
	for t.freeHolders == none {
		t.evictOldest() // not e, which is the most recently used
	}
	at := t.freeHolders
	t.freeHolders = t.holders[at].next
	h.next = t.entries[e].holders
	t.holders[at] = h
	t.entries[e].holders = at
}

// dropHolders frees the holders of an entry for which drop is true.
func (t *blockTable) dropHolders(e uint32, drop func(*holder) bool) {
	link := &t.entries[e].holders
	for *link != none {
		at := *link
		if !drop(&t.holders[at]) {
			link = &t.holders[at].next
			continue
		}
		*link = t.holders[at].next
		t.release(at)
	}
}

func (t *blockTable) release(at uint32) {
	t.holders[at] = holder{next: t.freeHolders}
	t.freeHolders = at
}
