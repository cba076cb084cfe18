package peers

import (
	"encoding/gob"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fresh"
	"github.com/fireflycleat/fireflycleat/pkg/idemp"
	"github.com/fireflycleat/fireflycleat/pkg/member"
	"github.com/fireflycleat/fireflycleat/pkg/route"
)

type (
	// Header is part of each argument. From is the sender's incarnation, Trace its W3C trace context.
	Header struct {
		From  string
		Trace string
	}

	// Nothing is the reply of methods that only deliver.
	Nothing struct{}

	// Heartbeat is both argument and reply of a heartbeat.
	Heartbeat struct {
		Header
		Beat  member.Heartbeat
		Fresh fresh.Beat
		// Speeds holds the sender's recent findings about the speed of upstreams; a reply has none, because peers send
		// heartbeats both ways.
		Speeds []route.Notice
	}

	// RecordsArgs asks for the state of a peer that is ahead of the offset.
	RecordsArgs struct {
		Header
		After  int64
		Part   int
		Offset int64 // Offset is that of the snapshot whose further parts are asked for; zero starts a new one.
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

	// ForecastArgs carries a forecast to the host that asked for it.
	ForecastArgs struct {
		Header
		Cell     string
		Forecast cell.Forecast
	}

	// Directory is what a controller publishes, with the load of its upstreams.
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

	// BeginReply is the end of a forwarded call: an answer, or an error with its code.
	BeginReply struct {
		Status      int
		ContentType string
		Body        []byte
		Fault       Fault
	}

	// Fault is a coded error on the wire; code 0 means none.
	Fault struct {
		Code       int
		Outcome    int
		Detail     string
		Field      string
		RetryAfter time.Duration
	}

	// ReleaseArgs asks whether this incarnation has released the lease with no order in flight.
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

// NewFault returns the error in the form in which it is sent.
func NewFault(err error) Fault {
	if err == nil {
		return Fault{}
	}
	e := codes.From(err)
	return Fault{Code: int(e.Code()), Outcome: int(e.Outcome()), Detail: e.Detail(), Field: e.Field(), RetryAfter: e.RetryAfter()}
}

// Err returns the error that was sent, or nil.
func (f Fault) Err() error {
	if f.Code == 0 {
		return nil
	}
	return codes.New(codes.Code(f.Code), f.Detail).WithOutcome(codes.Outcome(f.Outcome)).WithField(f.Field).WithRetryAfter(f.RetryAfter)
}
