package node

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

const (
	// meanSpeed is the speed of an upstream that does not differ from the mean of its service, in percent of it.
	meanSpeed = 100
	// maxNumberedRatio limits the numbers of a hub's numbering, as a multiple of the number of upstreams. Upstreams that are replaced leave
	// numbers without use.
	maxNumberedRatio = 2
	// maxLoadsAge is the age at which a hub measures the loads of upstreams again; that of what it knows about them is several times as long.
	maxLoadsAge = tickInterval
)

var errMalformedLoads = errors.New("loads in a feed are malformed")

type (
	// numbering assigns numbers to upstreams, which are shorter in messages than their IDs. Numbers stay the same within an epoch.
	numbering struct {
		hub     string // incarnation of the host that assigned the numbers
		epoch   int64
		ids     []string       // by number
		numbers map[string]int // by ID; only at the host that assigns them
	}

	// measuredLoads are the loads of upstreams, by the numbers of a numbering.
	measuredLoads struct {
		at              time.Time
		epoch           int64                     // of the numbering
		age             time.Duration             // mean age of the requests when they were measured
		running, speeds []int                     // by number; speeds are in percent
		peers           map[string]map[string]int // requests of other hosts in running, by host and upstream
	}

	// Loads contains, for a host that understands it, what Feed.Running and Feed.Speeds contain for others.
	Loads struct {
		Epoch int64    // of the hub's numbering
		First int      // number of the first ID in IDs
		IDs   []string // of the upstreams whose numbers the host does not know
		// Data contains, for each upstream with requests or a speed other than the mean, three unsigned varints: the difference between its
		// number and that of the one before; twice the number of requests, plus one if a speed follows; and that speed in percent.
		Data []byte
	}
)

// assign gives numbers to the upstreams that have none. It begins a new epoch if most numbers are without use.
func (x *numbering) assign(upstreams map[string]fleet.Upstream) {
	if x.numbers == nil || len(x.ids) > maxNumberedRatio*len(upstreams) {
		x.epoch++
		x.ids, x.numbers = nil, make(map[string]int)
	}
	for id := range upstreams {
		if _, ok := x.numbers[id]; !ok {
			x.numbers[id] = len(x.ids)
			x.ids = append(x.ids, id)
		}
	}
}

// measureLoads returns the loads of the upstreams, which are measured again when they are older than maxLoadsAge: a hub answers tens of hosts in that
// time.
func (n *Node) measureLoads(now time.Time) *measuredLoads {
	m := &n.measured
	if epoch := n.numbered.epoch; m.at.IsZero() || now.Sub(m.at) >= maxLoadsAge || len(n.numbered.ids) != len(m.running) || m.epoch != epoch {
		m.at, m.epoch, m.age, m.peers = now, epoch, n.table.ReportAge(now), n.table.PeerRequests()
		m.running, m.speeds = n.table.UpstreamLoads(n.numbered.ids)
	}
	return m
}

// loads returns the requests, except those of the host, and the speeds for a host that has sent the query, and the mean age of the requests.
func (n *Node) loads(now time.Time, host string, q FeedQuery) (*Loads, time.Duration) {
	l := &Loads{Epoch: n.numbered.epoch, First: q.NumbersKnown}
	if q.NumbersFrom != n.self.Incarnation || q.NumbersEpoch != l.Epoch || l.First > len(n.numbered.ids) {
		l.First = 0
	}
	l.IDs = n.numbered.ids[l.First:]
	m := n.measureLoads(now)
	running := slices.Clone(m.running)
	for id, count := range m.peers[host] {
		if number, ok := n.numbered.numbers[id]; ok {
			running[number] -= count
		}
	}
	last := 0
	for number, count := range running {
		speed := m.speeds[number]
		if count <= 0 && speed == meanSpeed {
			continue
		}
		l.Data = binary.AppendUvarint(l.Data, uint64(number-last)) //nolint:gosec // numbers ascend
		last = number
		requests := uint64(max(count, 0)) << 1 //nolint:gosec // not negative
		if speed == meanSpeed {
			l.Data = binary.AppendUvarint(l.Data, requests)
			continue
		}
		l.Data = binary.AppendUvarint(l.Data, requests|1)
		l.Data = binary.AppendUvarint(l.Data, uint64(speed)) //nolint:gosec // a positive share
	}
	return l, m.age + now.Sub(m.at)
}

// decodeLoads returns the requests and speeds in a feed by upstream ID.
func (n *Node) decodeLoads(hub Member, f *Feed) (running, speeds map[string]int) {
	if f.Loads == nil {
		return f.Running, f.Speeds
	}
	err := n.known.learn(hub.Incarnation, f.Loads)
	if err == nil {
		running, speeds, err = n.known.decode(f.Loads.Data)
	}
	if err != nil {
		n.log("members").Info("loads of a hub are passed over", "event", eventSkipped, "entry", hub.Name, "err", err)
		n.known = numbering{} // The next answer contains all numbers.
	}
	return running, speeds
}

// learn applies the numbers that a hub has assigned.
func (x *numbering) learn(hub string, l *Loads) error {
	if x.hub != hub || x.epoch != l.Epoch {
		*x = numbering{hub: hub, epoch: l.Epoch}
	}
	if l.First > len(x.ids) { // It is the answer to an earlier query.
		return errMalformedLoads
	}
	x.ids = append(x.ids[:l.First:l.First], l.IDs...)
	return nil
}

// decode returns the requests and speeds by upstream ID.
func (x *numbering) decode(data []byte) (running, speeds map[string]int, err error) {
	running, speeds = make(map[string]int), make(map[string]int)
	next := func() int {
		v, size := binary.Uvarint(data)
		if size <= 0 || v > 1<<31 {
			err = errMalformedLoads
			return 0
		}
		data = data[size:]
		return int(v) //nolint:gosec // checked above
	}
	for number := 0; len(data) > 0; {
		number += next()
		requests := next()
		if err != nil || number >= len(x.ids) {
			return nil, nil, errMalformedLoads
		}
		if requests > 1 {
			running[x.ids[number]] = requests >> 1
		}
		if requests&1 == 1 {
			speeds[x.ids[number]] = next()
		}
	}
	return running, speeds, err
}
