package prefix

// maxServers is the number of backend servers that are told apart.
const maxServers = 8192

// server is a backend server of the index.
type server struct {
	address     string
	incarnation uint64
	generation  uint32 // raised when what was known is dropped
	learned     uint32 // tick of the last use
}

// serverTable numbers the backend servers.
type serverTable struct {
	slots []server
	find  map[string]uint32
	live  int // servers that something may be known of
}

func newServerTable() serverTable { return serverTable{find: make(map[string]uint32)} }

// use returns the number of the server at address. What was known of another
// incarnation is dropped.
func (t *serverTable) use(address string, incarnation uint64, now uint32) uint32 {
	number, ok := t.find[address]
	if !ok {
		number = t.take(now)
		t.slots[number].address = address
		t.find[address] = number
	}
	s := &t.slots[number]
	if s.incarnation != incarnation {
		t.drop(s)
		s.incarnation = incarnation
		t.live++
	}
	s.learned = now
	return number
}

// take returns the number of a new slot, or that of the least recently used
// server, which is forgotten.
func (t *serverTable) take(now uint32) uint32 {
	if len(t.slots) < maxServers {
		t.slots = append(t.slots, server{})
		return uint32(len(t.slots) - 1)
	}
	oldest := uint32(0)
	for i := range t.slots {
		if now-t.slots[i].learned > now-t.slots[oldest].learned {
			oldest = uint32(i)
		}
	}
	t.drop(&t.slots[oldest])
	delete(t.find, t.slots[oldest].address)
	return oldest
}

// drop makes the holders of a server count no more.
func (t *serverTable) drop(s *server) {
	if s.incarnation == 0 {
		return
	}
	s.generation++
	s.incarnation = 0
	t.live--
}

func (t *serverTable) forget(address string) {
	if number, ok := t.find[address]; ok {
		t.drop(&t.slots[number])
	}
}

// current says whether a holder still counts.
func (t *serverTable) current(h *holder) bool {
	return t.slots[h.server].generation == h.generation
}

// serverSet is a set of server numbers.
type serverSet [maxServers / 64]uint64

// add says whether the server was not in the set before.
func (s *serverSet) add(server uint32) bool {
	word, bit := &s[server/64], uint64(1)<<(server%64)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}
