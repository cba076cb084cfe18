package hubs

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// PerCentre is the number of hubs of a data centre, so that one may be lost; when both are, each host reads the store itself.
	PerCentre = 2
	// SmallCentre is the number of hosts up to which all hosts of a data centre are hubs.
	SmallCentre = 3
)

// Host is an entry host as its peers see it.
type Host struct {
	Name       string
	DataCentre string
	Capacity   int  // Capacity is the processor share in thousandths of a core.
	Usable     bool // Usable tells that the host is not known to be silent or stopping.
}

// Choose returns the hubs of a data centre, the first choice first: usable hosts with most capacity, then by name.
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
	count := PerCentre
	if len(list) <= SmallCentre {
		count = len(list)
	}
	names := make([]string, 0, count)
	for _, h := range list[:count] {
		names = append(names, h.Name)
	}
	return names
}

// Parent returns the hub on which a host depends; it is empty if there is none or the host is a hub itself.
func Parent(hubs []string, host string) string {
	if len(hubs) == 0 || slices.Contains(hubs, host) {
		return ""
	}
	return hubs[xxhash.Sum64String(host)%uint64(len(hubs))]
}
