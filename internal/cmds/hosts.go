package cmds

import (
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const hostsPollInterval = 100 * time.Millisecond

func newHosts() *cobra.Command {
	o := new(operatorClient)
	var offset int64
	var limit time.Duration
	c := &cobra.Command{
		Use:   "hosts",
		Short: "Shows which configuration is in force on each host",
		Long: "Shows the hosts and the log offset that is in force on each. With --in-force it waits until every host that can " +
			"serve has reached the offset, and fails after --within.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := awaitOffset(c, o, offset, limit)
			if err != nil {
				return err
			}
			rows := [][]any{{"HOST", "DATA CENTRE", "OFFSET", "READY", "DRAINING", "SUSPECT", "AGE", "CALLERS"}}
			for _, h := range list {
				rows = append(rows, []any{
					h.Host, h.DataCentre, h.Offset, h.Current, h.Draining, h.Suspect, fmt.Sprintf("%.1fs", h.AgeSeconds), h.Traffic,
				})
			}
			return o.print(c.OutOrStdout(), list, rows)
		},
	}
	o.addFlags(c)
	c.Flags().Int64Var(&offset, "in-force", 0, "offset to wait for")
	c.Flags().DurationVar(&limit, "within", 7*time.Second, "time to wait for --in-force")
	return c
}

// awaitOffset polls the hosts until the offset is in force on each host that can serve. It returns a NotCurrent error after the
// limit.
func awaitOffset(c *cobra.Command, o *operatorClient, offset int64, limit time.Duration) ([]wire.HostReport, error) {
	for deadline := time.Now().Add(limit); ; time.Sleep(hostsPollInterval) {
		var list []wire.HostReport
		if err := o.call(c.Context(), http.MethodGet, "/v1/hosts", nil, &list); err != nil {
			return nil, err
		}
		behind := ""
		for _, h := range list {
			if h.Current && h.Offset < offset {
				behind = h.Host
			}
		}
		switch {
		case behind == "":
			return list, nil
		case time.Now().After(deadline):
			return nil, codes.Newf(codes.NotCurrent, "offset %d is not in force on host %s after %s", offset, behind, limit)
		}
	}
}
