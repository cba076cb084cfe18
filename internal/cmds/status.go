package cmds

import (
	"net/http"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/wire"
)

func newStatus() *cobra.Command {
	o := new(operatorClient)
	c := &cobra.Command{
		Use:   "status",
		Short: "Shows leases, replicas, upstreams, permits and key ranges as seen by one host",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var s wire.Status
			if err := o.call(c.Context(), http.MethodGet, "/v1/status", nil, &s); err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), s, statusRows(s))
		},
	}
	o.addFlags(c)
	return c
}

// cellOf returns the cell of an engine, or "-" for a service, which belongs to no cell. Each data centre currently has one cell of
// the same name.
func cellOf(u wire.UpstreamReport) string {
	if u.Kind != string(wire.KindEngine) {
		return "-"
	}
	return u.DataCentre
}

func statusRows(s wire.Status) [][]any {
	rows := [][]any{
		{"HOST", "INCARNATION", "STAGE", "READY", "OFFSET", "IN FLIGHT"},
		{s.Host, s.Incarnation, s.Stage, s.Ready, s.Offset, s.InFlight},
		{},
		{"CELL", "CONTROLLER", "FENCE", "RELEASED", "REPLICAS"},
	}
	for _, c := range s.Cells {
		rows = append(rows, []any{c.Cell, c.Holder, c.Fence, c.Released, len(c.Replicas)})
	}
	rows = append(rows, []any{}, []any{"REPLICA OF", "VERSION", "UPSTREAM", "CELL", "READY"})
	for _, c := range s.Cells {
		for _, r := range c.Replicas {
			rows = append(rows, []any{r.Model, r.Version, r.Upstream, c.Cell, r.Ready})
		}
	}
	rows = append(rows, []any{}, []any{"UPSTREAM", "KIND", "DATA CENTRE", "CELL", "STATE", "LEAVING", "FENCED", "USED BYTES", "CAPACITY BYTES"})
	for _, u := range s.Upstreams {
		row := []any{u.Upstream, u.Kind, u.DataCentre, cellOf(u), u.State, u.Leaving, u.ChecksFence, "-", "-"}
		if u.CapacityBytes > 0 {
			row[len(row)-2], row[len(row)-1] = u.UsedBytes, u.CapacityBytes
		}
		rows = append(rows, row)
	}
	rows = append(rows, []any{}, []any{"PERMITS OF", "CELL", "COUNT"})
	for _, p := range s.Permits {
		rows = append(rows, []any{p.Model, p.Cell, p.Count})
	}
	rows = append(rows, []any{}, []any{"LEDGER OF CELL", "USED BYTES", "CAPACITY BYTES", "LOADING", "QUEUED LOADS", "IN DOUBT", "UNSETTLED"})
	for _, c := range s.Cells {
		if l := c.Ledger; l != nil {
			rows = append(rows, []any{c.Cell, l.UsedBytes, l.CapacityBytes, l.Loading, l.Queued, l.InDoubt, l.Unsettled})
		}
	}
	rows = append(rows, []any{}, []any{"QUEUE OF MODEL", "WAITING"})
	for _, q := range s.Queue {
		rows = append(rows, []any{q.Model, q.Waiting})
	}
	rows = append(rows, []any{}, []any{"KEY RANGES", "HOLDER", "BACKUP"})
	for _, k := range s.KeyRanges {
		rows = append(rows, []any{k.Ranges, k.Holder, k.Backup})
	}
	return rows
}
