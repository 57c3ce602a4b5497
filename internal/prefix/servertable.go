package prefix

// maxServers is the maximum number of backend servers in an index.
const maxServers = 8192

// server is a backend server in the index.
type server struct {
	address     string
	incarnation uint64
	generation  uint32 // incremented to invalidate all holders of the server
	usedTick    uint32
}

// serverTable assigns numbers to the backend servers.
type serverTable struct {
	slots     []server
	byAddress map[string]uint32
	live      int // number of servers that may have valid holders
}

func newServerTable() serverTable { return serverTable{byAddress: make(map[string]uint32)} }

// register returns the number of the server at address, which it assigns if needed. A new
// incarnation invalidates the server's holders.
func (t *serverTable) register(address string, incarnation uint64, now uint32) uint32 {
	number, ok := t.byAddress[address]
	if !ok {
		number = t.allocate(now)
		t.slots[number].address = address
		t.byAddress[address] = number
	}
	s := &t.slots[number]
	if s.incarnation != incarnation {
		t.invalidate(s)
		s.incarnation = incarnation
		t.live++
	}
	s.usedTick = now
	return number
}

// allocate returns the number of a new slot, or else that of the least recently used
// server, which it evicts.
func (t *serverTable) allocate(now uint32) uint32 {
	if len(t.slots) < maxServers {
		t.slots = append(t.slots, server{})
		return uint32(len(t.slots) - 1)
	}
	oldest := uint32(0)
	for i := range t.slots {
		if now-t.slots[i].usedTick > now-t.slots[oldest].usedTick {
			oldest = uint32(i)
		}
	}
	t.invalidate(&t.slots[oldest])
	delete(t.byAddress, t.slots[oldest].address)
	return oldest
}

// invalidate makes all holders of a server invalid.
func (t *serverTable) invalidate(s *server) {
	if s.incarnation == 0 {
		return
	}
	s.generation++
	s.incarnation = 0
	t.live--
}

// remove invalidates the holders of the server at address.
func (t *serverTable) remove(address string) {
	if number, ok := t.byAddress[address]; ok {
		t.invalidate(&t.slots[number])
	}
}

// isCurrent reports whether a holder is still valid.
func (t *serverTable) isCurrent(h *holder) bool {
	return t.slots[h.server].generation == h.generation
}

// serverSet is a set of server numbers.
type serverSet [maxServers / 64]uint64

// add adds the server, and reports whether it was not in the set before.
func (s *serverSet) add(server uint32) bool {
	word, bit := &s[server/64], uint64(1)<<(server%64)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}
