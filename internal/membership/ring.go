package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// pointsPerServer is the number of points of each backend server on a ring.
const pointsPerServer = 32

// Ring is a consistent-hash ring of the backend servers of a group. All routers
// with the same view have the same ring.
type Ring struct {
	servers []Server
	points  []point
	index   map[string]int32 // by RPC address
}

type point struct {
	hash  uint64
	index int32 // in servers
}

// NewRing returns a ring of the servers.
func NewRing(servers []Server) *Ring {
	ring := &Ring{servers: servers, points: make([]point, 0, len(servers)*pointsPerServer), index: make(map[string]int32, len(servers))}
	for i := range servers {
		ring.index[servers[i].Address] = int32(i)
		ring.addPoints(int32(i))
	}
	slices.SortFunc(ring.points, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

func (r *Ring) addPoints(index int32) {
	var seed [4]byte
	for n := uint32(0); n < pointsPerServer; n++ {
		binary.BigEndian.PutUint32(seed[:], n)
		var digest xxhash.Digest
		digest.Reset()
		_, _ = digest.WriteString(r.servers[index].Address)
		_, _ = digest.Write(seed[:])
		r.points = append(r.points, point{digest.Sum64(), index})
	}
}

// Index returns the index of the server with that RPC address.
func (r *Ring) Index(address string) (int32, bool) {
	index, ok := r.index[address]
	return index, ok
}

// Lookup appends to dst the indexes of up to n distinct servers that follow
// hash on the ring, in ring order. Servers that are already in dst are skipped.
func (r *Ring) Lookup(dst []int32, hash uint64, n int) []int32 {
	if len(r.points) == 0 {
		return dst
	}
	start := sort.Search(len(r.points), func(i int) bool { return r.points[i].hash >= hash })
	want := min(len(dst)+n, len(r.servers))
	for step := 0; step < len(r.points) && len(dst) < want; step++ {
		index := r.points[(start+step)%len(r.points)].index
		if !slices.Contains(dst, index) {
			dst = append(dst, index)
		}
	}
	return dst
}
