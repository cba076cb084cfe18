package wire

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

type (
	// TemplateChange is the body of PUT /v1/templates/{name}. Base is the offset of the version to replace, or 0 for a new
	// template. A retry must have the same ChangeID.
	TemplateChange struct {
		ChangeID string        `json:"changeId,omitempty"`
		Base     int64         `json:"base"`
		Template spec.Template `json:"template"`
	}

	// TeamChange is the body of PUT /v1/teams/{name}. Base and ChangeID have the same meaning as in TemplateChange.
	TeamChange struct {
		ChangeID string    `json:"changeId,omitempty"`
		Base     int64     `json:"base"`
		Team     spec.Team `json:"team"`
	}

	// Change is the response to an accepted change. Hosts that have reached Offset apply the change.
	Change struct {
		Offset int64 `json:"offset"`
	}

	// TemplateState is a template with the offset at which it was set.
	TemplateState struct {
		Offset   int64         `json:"offset"`
		Template spec.Template `json:"template"`
	}

	// TeamState is a team with the offset at which it was set.
	TeamState struct {
		Offset int64     `json:"offset"`
		Team   spec.Team `json:"team"`
	}

	// HostReport is the state of one daemon as seen by the daemon that sends the report.
	HostReport struct {
		Host        string  `json:"host"`
		Incarnation string  `json:"incarnation"`
		DataCentre  string  `json:"dataCentre"`
		Traffic     string  `json:"traffic"`
		Offset      int64   `json:"offset"`
		Current     bool    `json:"current"`
		Draining    bool    `json:"draining"`
		Suspect     bool    `json:"suspect"`
		AgeSeconds  float64 `json:"ageSeconds"` // time since the last heartbeat
	}

	// Status is the response to GET /v1/status in the operators' API.
	Status struct {
		Host        string           `json:"host"`
		Incarnation string           `json:"incarnation"`
		Stage       string           `json:"stage"`
		Ready       bool             `json:"ready"`
		Reason      string           `json:"reason,omitempty"`
		Offset      int64            `json:"offset"`
		InFlight    int              `json:"inFlight"`
		Cells       []CellReport     `json:"cells"`
		Upstreams   []UpstreamReport `json:"upstreams"`
		Permits     []PermitReport   `json:"permits"`
		KeyRanges   []RangeReport    `json:"keyRanges"`
		Queue       []QueueReport    `json:"queue"`
	}

	// QueueReport is the number of calls to a model that are queued at this host.
	QueueReport struct {
		Model   string `json:"model"`
		Waiting int    `json:"waiting"`
	}

	// LedgerReport summarises the ledger of a cell's controller. UsedBytes counts loaded and reserved memory, Loading the loads in
	// flight or in doubt, Queued the models that wait for a load, InDoubt the orders without a response, and Unsettled the
	// upstreams that have not quiesced and receive no orders yet.
	LedgerReport struct {
		UsedBytes     int64 `json:"usedBytes"`
		CapacityBytes int64 `json:"capacityBytes"`
		Loading       int   `json:"loading"`
		Queued        int   `json:"queued"`
		InDoubt       int   `json:"inDoubt"`
		Unsettled     int   `json:"unsettled"`
	}

	// CellReport holds the lease, the directory and the ledger of a cell.
	CellReport struct {
		Cell     string          `json:"cell"`
		Holder   string          `json:"holder"`
		Fence    int64           `json:"fence"`
		Released bool            `json:"released"`
		Replicas []ReplicaReport `json:"replicas"`
		Ledger   *LedgerReport   `json:"ledger,omitempty"` // set only in the report of the cell's controller
	}

	// ReplicaReport is one replica in the directory of a cell.
	ReplicaReport struct {
		Upstream string    `json:"upstream"`
		Model    string    `json:"model"`
		Version  string    `json:"version"`
		Ready    bool      `json:"ready"`
		ReadyAt  time.Time `json:"readyAt,omitzero"`
	}

	// UpstreamReport is the state of one upstream. CapacityBytes and UsedBytes are set only by the controller of its cell.
	UpstreamReport struct {
		Upstream      string `json:"upstream"`
		Kind          string `json:"kind"`
		DataCentre    string `json:"dataCentre"`
		State         string `json:"state"`
		Leaving       bool   `json:"leaving"`
		ChecksFence   bool   `json:"checksFence"`
		CapacityBytes int64  `json:"capacityBytes,omitempty"`
		UsedBytes     int64  `json:"usedBytes,omitempty"`
	}

	// PermitReport is the number of replica permits of a model that a cell holds.
	PermitReport struct {
		Model string `json:"model"`
		Cell  string `json:"cell"`
		Count int    `json:"count"`
	}

	// RangeReport is the number of key ranges that have the same holder and the same backup.
	RangeReport struct {
		Holder string `json:"holder"`
		Backup string `json:"backup"`
		Ranges int    `json:"ranges"`
	}

	// Decision records that a request was routed to an upstream or refused, and why.
	Decision struct {
		At       time.Time `json:"at"`
		Request  string    `json:"request"`
		Event    string    `json:"event"`
		Upstream string    `json:"upstream,omitempty"`
		Code     int       `json:"code,omitempty"`
		Reason   string    `json:"reason"`
	}

	// LogLevel is the body of PUT /v1/logLevel and of its response.
	LogLevel struct {
		Level string `json:"level"`
	}
)
