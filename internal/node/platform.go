package node

import (
	"context"
	"net/http"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/lease"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

type (
	// Platform contains the functions of the platform that a node uses. They may be called from any goroutine.
	Platform struct {
		// Config returns the configuration record that follows the cursor, and the cursor of that record. It waits up to the given
		// time for one; an empty record means that there is none. With a zero cursor, or one of an earlier era, it returns the current
		// record.
		Config func(ctx context.Context, c Cursor, wait time.Duration) ([]byte, Cursor, error)
		// DecodeConfig decodes a configuration record.
		DecodeConfig func(record []byte) (*fleet.Config, error)
		// Upstreams returns the changes of the list after the cursor. With a zero cursor, or one of an earlier era, it returns the whole
		// list.
		Upstreams func(ctx context.Context, c Cursor) (ListChanges, error)
		// Lease returns the newest lease record.
		Lease func(ctx context.Context) (lease.Newest, error)
		// AppendLease appends a lease record if the log ends at the expected offset; otherwise ok is false.
		AppendLease func(ctx context.Context, a lease.Action) (offset int64, ok bool, err error)
		// Announce publishes this host to the others and returns the era of the store in which it is published.
		Announce func(ctx context.Context, m Member) (era int64, err error)
		// Era returns the highest era in the store's answers, which rises when the store comes back from a copy. It returns -1 before the first answer.
		Era func() int64
		// Members returns all published hosts, and the entries that could not be decoded.
		Members func(ctx context.Context) ([]Member, []SkippedEntry, error)
		// Order sends an order to an upstream and returns its answer and what it says about itself. It calls permit just before it sends,
		// and sends nothing if permit returns false.
		Order func(ctx context.Context, address string, o place.Order, holder string, fence int64, permit func() bool) (place.Answer, relay.Signs)
		// Report requests the state of an upstream. It also returns what the upstream says about itself, with an error too.
		Report func(ctx context.Context, address, upstream string) (place.Report, relay.Signs, error)
		// Handlers returns the HTTP handlers for the ready address and the directory address.
		Handlers func(ready func() bool, addresses func(dataCentre string) ([]string, time.Duration)) (http.Handler, http.Handler)
		// Dialect translates request headers between the platform and the relay.
		Dialect relay.Dialect
	}

	// Cursor is a place in a topic of the store. The zero value is the start.
	Cursor struct {
		Era  int64 // of the store; in a higher one, offsets are given out again
		Next int64 // increases by one with each record written in the era
	}

	// ListChanges is a set of changes to the list of upstreams.
	ListChanges struct {
		Complete bool // whether Put is the complete list
		Put      []fleet.Upstream
		Removed  []string
		Cursor   Cursor
		Skipped  []SkippedEntry // an earlier entry of the same upstream still holds
		Bytes    int            // size of the complete list on the link
		Begun    bool           // with an error, whether the store had sent a part of the complete list
	}

	// SkippedEntry is a published entry that could not be decoded.
	SkippedEntry struct {
		ID     string
		Reason string
	}

	// Member is the published description of an entry host.
	Member struct {
		Name        string `json:"name"`
		Incarnation string `json:"incarnation"`
		DataCentre  string `json:"dataCentre"`
		Traffic     string `json:"traffic"`  // address for callers
		Peers       string `json:"peers"`    // address for other hosts
		Capacity    int    `json:"capacity"` // processor share in thousandths of a core
	}
)
