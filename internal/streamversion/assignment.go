// Package streamversion decides at which software version of a service's backend servers a
// stream may begin or go on. What two versions write does not fit together, so a stream goes
// on only at the version that began it, also after all gateways were lost.
//
// The id of the attempt that began a stream tells its version: a hash of it leads to one of
// Slots slots, and an Assignment, which the platform's store keeps, gives each slot a version.
// A new stream begins at the version of its slot. After a slot has moved to another version
// it names the former ones for as long as one of their streams can last; until then only a
// gateway that delivered a stream itself knows where it began. A gateway that begins streams
// may know an older assignment; one that takes up a stream of another gateway reads it anew.
package streamversion

import (
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// Slots is the number of slots of a service. A version with a smaller share of the capacity
// than one slot begins no streams.
const Slots = 256

const (
	// maxVersions bounds the versions in an Assignment, and maxVersionLength the length of
	// a version's name in bytes.
	maxVersions      = 64
	maxVersionLength = 200
)

// slotOf returns the slot of the attempt that began a stream.
func slotOf(attemptID string) int { return int(xxhash.Sum64String(attemptID) >> 56) }

// slot is where the streams of a slot begin.
type slot struct {
	version string
	former  []string // sorted; streams that began there may go on
	open    bool     // streams that began at any version may go on
}

// settled reports whether all streams of the slot that may go on began at its version.
func (s *slot) settled() bool { return len(s.former) == 0 && !s.open }

func (s *slot) equal(other *slot) bool {
	return s.version == other.version && s.open == other.open && slices.Equal(s.former, other.former)
}

// moveTo returns the slot after a move to a version.
func (s *slot) moveTo(version string) slot {
	former := append(slices.Clone(s.former), s.version)
	former = slices.DeleteFunc(former, func(v string) bool { return v == version })
	slices.Sort(former)
	return slot{version: version, former: slices.Compact(former), open: s.open}
}

// Assignment assigns the streams of a service to software versions. It is immutable.
type Assignment struct {
	Epoch    uint64           // grows with each change
	Era      platform.Era     // of the store in which it was written
	Revision platform.Version // of the entry in the store; not encoded

	slots [Slots]slot
}

// Unreadable returns what stands for an entry that can't be decoded: streams may have begun at
// any version, and none begins until the entry is replaced.
func Unreadable() *Assignment {
	a := &Assignment{}
	for i := range a.slots {
		a.slots[i].open = true
	}
	return a
}

// Uniform reports whether all streams that may go on began at the same version.
func (a *Assignment) Uniform() bool {
	for i := range a.slots {
		if !a.slots[i].settled() || a.slots[i].version != a.slots[0].version {
			return false
		}
	}
	return true
}

// Shares returns the number of slots by version.
func (a *Assignment) Shares() map[string]int {
	shares := make(map[string]int)
	for i := range a.slots {
		shares[a.slots[i].version]++
	}
	return shares
}

// Unsettled returns the number of slots whose streams may have begun at several versions.
func (a *Assignment) Unsettled() int {
	n := 0
	for i := range a.slots {
		if !a.slots[i].settled() {
			n++
		}
	}
	return n
}

// row is an Assignment in the store.
type row struct {
	Epoch  uint64  `json:"epoch"`
	Era    uint64  `json:"era"`
	Groups []group `json:"groups"`
}

// group holds the slots with equal versions.
type group struct {
	Version string   `json:"version"`
	Former  []string `json:"former,omitempty"`
	Open    bool     `json:"open,omitempty"`
	Slots   string   `json:"slots"` // a bit for each slot, in hexadecimal
}

// Encode returns the entry for the store.
func (a *Assignment) Encode() ([]byte, error) {
	message := row{Epoch: a.Epoch, Era: uint64(a.Era)}
	var done [Slots]bool
	for i := range a.slots {
		if done[i] {
			continue
		}
		var members [Slots / 8]byte
		for j := i; j < Slots; j++ {
			if !done[j] && a.slots[j].equal(&a.slots[i]) {
				done[j] = true
				members[j/8] |= 1 << (j % 8)
			}
		}
		s := &a.slots[i]
		message.Groups = append(message.Groups, group{Version: s.version, Former: s.former, Open: s.open, Slots: hex.EncodeToString(members[:])})
	}
	text, err := json.Marshal(message)
	return text, errors.Wrap(err, "encode assignment of streams")
}

// Decode returns the Assignment of an entry. An entry that does not give every slot one
// version is an error.
func Decode(text []byte) (*Assignment, error) {
	var message row
	if err := json.Unmarshal(text, &message); err != nil {
		return nil, errors.Wrap(err, "assignment of streams")
	}
	a := &Assignment{Epoch: message.Epoch, Era: platform.Era(message.Era)}
	var assigned [Slots]bool
	for i := range message.Groups {
		if err := a.addGroup(&message.Groups[i], &assigned); err != nil {
			return nil, err
		}
	}
	if slices.Contains(assigned[:], false) {
		return nil, errors.New("assignment of streams: slots without a version")
	}
	return a, nil
}

// addGroup gives the slots of a group their versions.
func (a *Assignment) addGroup(g *group, assigned *[Slots]bool) error {
	members, err := hex.DecodeString(g.Slots)
	if err != nil || len(members) != Slots/8 {
		return errors.Errorf("assignment of streams: malformed slots %.80q", g.Slots)
	}
	tooLong := func(version string) bool { return len(version) > maxVersionLength }
	s := slot{version: g.Version, former: g.Former, open: g.Open}
	if len(s.former) > maxVersions || tooLong(s.version) || slices.ContainsFunc(s.former, tooLong) {
		return errors.New("assignment of streams: too many versions, or too long ones")
	}
	for i := range assigned {
		if members[i/8]&(1<<(i%8)) == 0 {
			continue
		}
		if assigned[i] {
			return errors.Errorf("assignment of streams: slot %d has two versions", i)
		}
		assigned[i] = true
		a.slots[i] = s
	}
	return nil
}
