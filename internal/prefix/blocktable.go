package prefix

const (
	// maxHolders is the maximum number of holders of a block.
	maxHolders = 16
	// holdersPerBlock is the mean number of holders for which memory is allocated.
	holdersPerBlock = 2
	// none is the index that stands for no entry or no holder.
	none = 0
)

// entry is a block in the table.
type entry struct {
	block        uint64
	newer, older uint32 // neighbours in the ring by use
	holders      uint32 // index of the first in the list
	heatTick     uint32 // tick of the last change of heat
	heat         float32
}

// heatAt returns the decayed heat.
func (e *entry) heatAt(now uint32) float64 { return float64(e.heat) * decay(now-e.heatTick) }

// holder is a server that holds a block. It is valid while its generation is that of the
// server.
type holder struct {
	server     uint32
	generation uint32
	addedTick  uint32
	next       uint32
}

// blockTable maps blocks to their holders, and evicts the least recently used blocks.
// Entries and holders are in arrays that are allocated once; unused ones are in free
// lists.
type blockTable struct {
	byBlock     map[uint64]uint32
	entries     []entry // the first is the head of the ring by use
	holders     []holder
	freeEntries uint32
	freeHolders uint32
}

func newBlockTable(blocks int) blockTable {
	t := blockTable{
		byBlock: make(map[uint64]uint32, blocks),
		entries: make([]entry, blocks+1),
		holders: make([]holder, max(holdersPerBlock*blocks, maxHolders)+1),
	}
	for i := len(t.holders) - 1; i > none; i-- {
		t.freeHolder(uint32(i))
	}
	for i := len(t.entries) - 1; i > none; i-- {
		t.entries[i].newer = t.freeEntries
		t.freeEntries = uint32(i)
	}
	return t
}

// firstHolder returns the index of the block's first holder, or none.
func (t *blockTable) firstHolder(block uint64) uint32 {
	e, ok := t.byBlock[block]
	if !ok {
		return none
	}
	return t.entries[e].holders
}

// touch returns the block's entry, which it creates if needed and makes the most recently
// used.
func (t *blockTable) touch(block uint64) uint32 {
	e, ok := t.byBlock[block]
	if ok {
		t.unlink(e)
	} else {
		e = t.allocate()
		t.entries[e] = entry{block: block}
		t.byBlock[block] = e
	}
	t.link(e)
	return e
}

// allocate returns an unused entry. It evicts the least recently used one if needed.
func (t *blockTable) allocate() uint32 {
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
	t.removeHolders(e, func(*holder) bool { return true })
	delete(t.byBlock, t.entries[e].block)
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

// addHeat adds one to the heat of an entry.
func (t *blockTable) addHeat(e, now uint32) {
	t.entries[e].heat = float32(t.entries[e].heatAt(now) + 1)
	t.entries[e].heatTick = now
}

// addHolder inserts h at the head of an entry's list.
func (t *blockTable) addHolder(e uint32, h holder) {
	for t.freeHolders == none {
		t.evictOldest() // not e, which is the most recently used
	}
	i := t.freeHolders
	t.freeHolders = t.holders[i].next
	h.next = t.entries[e].holders
	t.holders[i] = h
	t.entries[e].holders = i
}

// removeHolders frees the holders of an entry for which drop returns true.
func (t *blockTable) removeHolders(e uint32, drop func(*holder) bool) {
	link := &t.entries[e].holders
	for *link != none {
		i := *link
		if !drop(&t.holders[i]) {
			link = &t.holders[i].next
			continue
		}
		*link = t.holders[i].next
		t.freeHolder(i)
	}
}

func (t *blockTable) freeHolder(i uint32) {
	t.holders[i] = holder{next: t.freeHolders}
	t.freeHolders = i
}
