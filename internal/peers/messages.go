package peers

import (
	"encoding/gob"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/idemp"
	"github.com/fireflycleat/fireflycleat/pkg/member"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/stale"
)

type (
	// Header is part of each argument.
	Header struct {
		From  string // incarnation of the sender
		Trace string // W3C trace context of the call
	}

	// Empty is the reply of methods that return no value.
	Empty struct{}

	// Heartbeat is both argument and reply of a heartbeat.
	Heartbeat struct {
		Header
		Beat  member.Heartbeat
		Fresh stale.Heartbeat
		// Speeds holds the sender's recent notices about the speed of upstreams. Replies have none, because peers send
		// heartbeats in both directions.
		Speeds []route.Notice
	}

	// RecordsArgs requests a part of the state snapshot of a peer whose offset is greater than After.
	RecordsArgs struct {
		Header
		After  int64
		Part   int
		Offset int64 // identifies the snapshot to continue; zero requests a new one
	}

	// RecordsReply carries one part of a compressed snapshot.
	RecordsReply struct {
		Offset int64
		Parts  int
		Data   []byte
	}

	// CellEvent carries an event to the controller of a cell.
	CellEvent struct {
		Header
		Cell  string
		Event cell.Event
	}

	// ForecastArgs carries a forecast to the host that requested it.
	ForecastArgs struct {
		Header
		Cell     string
		Forecast cell.Forecast
	}

	// Directory lists the replicas of a cell and the load of its upstreams, as published by the cell's controller.
	Directory struct {
		Header
		Cell     string
		Fence    int64
		Seq      uint64
		Replicas []cell.Replica
		Loads    []Load
	}

	// Load is the load of one replica as its engine reported it.
	Load struct {
		Upstream string
		Model    string
		Running  int
		Waiting  int
		Slots    int
		At       time.Time
	}

	// KeyMessage carries a message between the hosts of a key range.
	KeyMessage struct {
		Header
		Message idemp.Event
	}

	// BeginArgs forwards a keyed call to the holder of its key range.
	BeginArgs struct {
		Header
		Team        string
		Service     string
		Method      string
		Path        string
		ContentType string
		Key         string
		Body        []byte
	}

	// BeginReply is the result of a forwarded call: a response, or an error with its code.
	BeginReply struct {
		Status      int
		ContentType string
		Body        []byte
		Fault       Fault
	}

	// Fault is the wire form of a coded error; code 0 means no error.
	Fault struct {
		Code       int
		Outcome    int
		Detail     string
		Field      string
		RetryAfter time.Duration
	}

	// ReleaseArgs queries whether the receiver has released the lease with this fence and has no order in flight.
	ReleaseArgs struct {
		Header
		Cell  string
		Fence int64
	}

	// ReleaseReply answers ReleaseArgs.
	ReleaseReply struct{ Released bool }
)

func init() {
	for _, m := range []idemp.Event{
		idemp.Replicate{},
		idemp.ReplicateAck{},
		idemp.ReplicateRefused{},
		idemp.Transfer{},
		idemp.TransferAck{},
		idemp.Late{},
		idemp.LateAck{},
	} {
		gob.Register(m)
	}
	for _, e := range []cell.Event{cell.Demand{}, cell.Use{}, cell.PermitAsked{}} {
		gob.Register(e)
	}
}

// SetLoads replaces the loads of one upstream.
func (d *Directory) SetLoads(upstream string, loads []Load) {
	kept := make([]Load, 0, len(d.Loads)+len(loads))
	for _, l := range d.Loads {
		if l.Upstream != upstream {
			kept = append(kept, l)
		}
	}
	d.Loads = append(kept, loads...)
}

// NewFault converts an error to its wire form; nil becomes the zero value.
func NewFault(err error) Fault {
	if err == nil {
		return Fault{}
	}
	e := codes.From(err)
	return Fault{Code: int(e.Code()), Outcome: int(e.Outcome()), Detail: e.Detail(), Field: e.Field(), RetryAfter: e.RetryAfter()}
}

// Err converts the wire form back to an error; the zero value becomes nil.
func (f Fault) Err() error {
	if f.Code == 0 {
		return nil
	}
	return codes.New(codes.Code(f.Code), f.Detail).WithOutcome(codes.Outcome(f.Outcome)).WithField(f.Field).WithRetryAfter(f.RetryAfter)
}
