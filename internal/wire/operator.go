package wire

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

type (
	// TemplateChange is the body of PUT /v1/templates/{name}. Base is the offset of the version it replaces, 0 for a new
	// one. A change that is sent again carries the same ChangeID.
	TemplateChange struct {
		ChangeID string        `json:"changeId,omitempty"`
		Base     int64         `json:"base"`
		Template spec.Template `json:"template"`
	}

	// TeamChange is the body of PUT /v1/teams/{name}.
	TeamChange struct {
		ChangeID string    `json:"changeId,omitempty"`
		Base     int64     `json:"base"`
		Team     spec.Team `json:"team"`
	}

	// Change answers an accepted change: it is in force on each host whose offset is at least Offset.
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

	// HostReport is what the asked daemon knows of a daemon.
	HostReport struct {
		Host        string  `json:"host"`
		Incarnation string  `json:"incarnation"`
		DataCentre  string  `json:"dataCentre"`
		Traffic     string  `json:"traffic"`
		Offset      int64   `json:"offset"`
		Current     bool    `json:"current"`
		Draining    bool    `json:"draining"`
		Suspect     bool    `json:"suspect"`
		AgeSeconds  float64 `json:"ageSeconds"` // AgeSeconds is the age of the last heartbeat.
	}

	// Status answers GET /v1/status.
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

	// QueueReport is the number of calls of a model that wait at this host.
	QueueReport struct {
		Model   string `json:"model"`
		Waiting int    `json:"waiting"`
	}

	// LedgerReport is what the controller of a cell accounts for: memory that is loaded or reserved, loads in flight or in
	// doubt, models that wait for a load, orders without answer, and upstreams that get no order yet.
	LedgerReport struct {
		UsedBytes     int64 `json:"usedBytes"`
		CapacityBytes int64 `json:"capacityBytes"`
		Loading       int   `json:"loading"`
		Queued        int   `json:"queued"`
		InDoubt       int   `json:"inDoubt"`
		Unsettled     int   `json:"unsettled"`
	}

	// CellReport is the lease and the directory of a cell.
	CellReport struct {
		Cell     string          `json:"cell"`
		Holder   string          `json:"holder"`
		Fence    int64           `json:"fence"`
		Released bool            `json:"released"`
		Replicas []ReplicaReport `json:"replicas"`
		Ledger   *LedgerReport   `json:"ledger,omitempty"` // Ledger is known to the controller only.
	}

	// ReplicaReport is one replica of a directory.
	ReplicaReport struct {
		Upstream string    `json:"upstream"`
		Model    string    `json:"model"`
		Version  string    `json:"version"`
		Ready    bool      `json:"ready"`
		ReadyAt  time.Time `json:"readyAt,omitzero"`
	}

	// UpstreamReport is one upstream. Memory is known to the controller of its cell only.
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

	// RangeReport counts the key ranges of a pair of holder and backup.
	RangeReport struct {
		Holder string `json:"holder"`
		Backup string `json:"backup"`
		Ranges int    `json:"ranges"`
	}

	// Decision is one line of the record of why requests were routed or refused.
	Decision struct {
		At       time.Time `json:"at"`
		Request  string    `json:"request"`
		Event    string    `json:"event"`
		Upstream string    `json:"upstream,omitempty"`
		Code     int       `json:"code,omitempty"`
		Reason   string    `json:"reason"`
	}

	// LogLevel is the body of PUT /v1/logLevel.
	LogLevel struct {
		Level string `json:"level"`
	}
)
