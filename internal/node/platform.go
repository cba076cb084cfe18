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
	// Platform is what a node needs of the platform it runs on. All functions may be called from any goroutine.
	Platform struct {
		// Config returns the record of the configuration that is newer than the cursor, waiting for one up to the given time;
		// an empty record means that there is none. A zero cursor returns the present one.
		Config func(ctx context.Context, cursor int64, wait time.Duration) ([]byte, int64, error)
		// DecodeConfig decodes a record of the configuration.
		DecodeConfig func(record []byte) (*fleet.Config, error)
		// Upstreams returns the changes of the list after the cursor; a zero cursor returns the whole list.
		Upstreams func(ctx context.Context, cursor int64) (Changes, error)
		// Lease returns the newest lease record.
		Lease func(ctx context.Context) (lease.Newest, error)
		// Renew appends a lease record if the log ends at the offset; ok is false if it does not.
		Renew func(ctx context.Context, a lease.Action) (offset int64, ok bool, err error)
		// Announce publishes this host for the others, and Members returns all hosts that were published.
		Announce func(ctx context.Context, m Member) error
		Members  func(ctx context.Context) ([]Member, error)
		// Order gives an order to an upstream.
		Order func(ctx context.Context, address string, o place.Order, holder string, fence int64) place.Answer
		// Report asks an upstream for its state.
		Report func(ctx context.Context, address, upstream string) (place.Report, error)
		// Doors returns the handlers of the ready and the directory address.
		Doors func(ready func() bool, addresses func(dataCentre string) ([]string, time.Duration)) (http.Handler, http.Handler)
		// Dialect translates the headers of requests.
		Dialect relay.Dialect
	}

	// Changes are changes of the list of upstreams.
	Changes struct {
		Whole   bool // Whole tells that Put is the complete list.
		Put     []fleet.Upstream
		Removed []string
		Cursor  int64    // Cursor grows by one with each entry ever written.
		Skipped []string // Skipped describes entries that could not be read.
	}

	// Member is an entry host as it publishes itself.
	Member struct {
		Name        string `json:"name"`
		Incarnation string `json:"incarnation"`
		DataCentre  string `json:"dataCentre"`
		Traffic     string `json:"traffic"`  // Traffic is the address for callers.
		Peers       string `json:"peers"`    // Peers is the address for other hosts.
		Capacity    int    `json:"capacity"` // Capacity is the processor share in thousandths of a core.
	}
)
