package cmds

import (
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const statusPollInterval = 200 * time.Millisecond

func newStop() *cobra.Command {
	o := new(operatorClient)
	watch := false
	c := &cobra.Command{
		Use:   "stop",
		Short: "Starts the planned stop of a host",
		Long:  "Starts the planned stop of the host at --operator. With --watch it shows the stages until the host has stopped.",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var none struct{}
			if err := o.call(c.Context(), http.MethodPost, "/v1/stop", nil, &none); err != nil {
				return err
			}
			if !watch {
				return o.print(c.OutOrStdout(), none, [][]any{{"stopping"}})
			}
			return watchStop(c, o)
		},
	}
	o.addFlags(c)
	c.Flags().BoolVar(&watch, "watch", false, "show the stages until the host has stopped")
	return c
}

// watchStop prints the stages of the stop until the host no longer responds.
func watchStop(c *cobra.Command, o *operatorClient) error {
	printed := ""
	for ; ; time.Sleep(statusPollInterval) {
		var s wire.Status
		err := o.call(c.Context(), http.MethodGet, "/v1/status", nil, &s)
		if codes.Is(err, codes.PeerUnavailable) {
			fmt.Fprintln(c.OutOrStdout(), "stopped")
			return nil
		}
		if err != nil {
			return err
		}
		if line := fmt.Sprintf("%s, %d requests in flight", s.Stage, s.InFlight); line != printed {
			printed = line
			fmt.Fprintln(c.OutOrStdout(), line)
		}
	}
}
