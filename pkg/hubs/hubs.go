package hubs

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// PerDataCentre is the number of hubs of a data centre. Two tolerate the loss of one; without a hub, each host reads the store
	// itself.
	PerDataCentre = 2
	// SmallDataCentre is the largest number of usable hosts in a data centre at which all of them are hubs.
	SmallDataCentre = 3
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
	names := make([]string, 0, count)
	for _, h := range list[:count] {
		names = append(names, h.Name)
	}
	return names
}

// Parent returns the hub from which the host gets its information, or an empty string if there is none or the host is a hub.
func Parent(hubs []string, host string) string {
	if len(hubs) == 0 || slices.Contains(hubs, host) {
		return ""
	}
	return hubs[xxhash.Sum64String(host)%uint64(len(hubs))]
}
