package cmds

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/internal/node"
	"github.com/fireflycleat/fireflycleat/internal/telem"
	plat "github.com/fireflycleat/fireflycleat/platform"
)

func newHost() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "host",
		Short: "Runs an entry host on the users' platform",
		Long: "Runs an entry host on the users' platform until SIGTERM or SIGINT, which start a graceful stop. " +
			"Without --config an environment variable set by the platform names the settings file.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if file == "" {
				name, err := plat.SettingsFile()
				if err != nil {
					return err
				}
				file = name
			}
			s, err := node.ReadSettings(file)
			if err != nil {
				return err
			}
			if limit := s.Host.GCLimit(); limit > 0 {
				debug.SetMemoryLimit(limit)
			}
			queue := telem.NewQueue(os.Stdout)
			defer queue.Close()
			pool := conns.New(conns.Settings{DialTimeout: node.DialTimeout, UserTimeout: node.UserTimeout})
			n := node.New(s, plat.New(s.Platform.Address, pool), pool, telem.NewJSONLogs(queue, s.Host.Name).Limited()).WithSettingsFile(file)
			ctx, cancel := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer cancel()
			return n.Run(ctx)
		},
	}
	c.Flags().StringVar(&file, "config", "", "settings `file` (TOML)")
	return c
}
