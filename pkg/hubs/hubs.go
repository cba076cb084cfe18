package hubs

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// PerDataCentre is the number of hubs of a data centre. Two tolerate the loss of one; without a hub, each host reads the store
	// itself.
	PerDataCentre = 2
	// SmallDataCentre is the largest number of usable hosts in a data centre at which all of them are hubs.
	SmallDataCentre = 3

	// hashShift leaves the bits of a hash that a float64 represents exactly with a half added; hashRange exceeds their value.
	hashShift = 12
	hashRange = 1 << 52
)

// Host is an entry host as seen by its peers.
type Host struct {
	Name       string
	DataCentre string
	Capacity   int  // processor share, in thousandths of a core
	Usable     bool // not known to be unreachable or stopping
}

// Choose returns the names of the hubs of a data centre: the usable hosts with the most capacity, in descending order of capacity
// and then by name.
func Choose(hosts []Host, dataCentre string) []string {
	chosen := choose(hosts, dataCentre)
	names := make([]string, len(chosen))
	for i, h := range chosen {
		names[i] = h.Name
	}
	return names
}

func choose(hosts []Host, dataCentre string) []Host {
	var list []Host
	for _, h := range hosts {
		if h.DataCentre == dataCentre && h.Usable {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	count := PerDataCentre
	if len(list) <= SmallDataCentre {
		count = len(list)
	}
	return list[:count]
}

// Parent returns the hub from which a host of the data centre gets its information, or an empty string if there is none or the host is a hub.
// Each hub is the parent of a share of the hosts that follows its capacity: while a large host restarts, a small one takes its place, and could
// not answer half of the hosts in time.
func Parent(hosts []Host, dataCentre, host string) string {
	parent, best := "", math.Inf(-1)
	for _, h := range choose(hosts, dataCentre) {
		if h.Name == host {
			return ""
		}
		// The highest of these scores is that of a hub with a probability in proportion to its capacity (rendezvous hashing).
		draw := (float64(xxhash.Sum64String(h.Name+"\x00"+host)>>hashShift) + 0.5) / hashRange
		if score := -float64(max(h.Capacity, 1)) / math.Log(draw); score > best {
			parent, best = h.Name, score
		}
	}
	return parent
}
