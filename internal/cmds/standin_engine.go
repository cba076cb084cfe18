package cmds

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/stand/model"
	"github.com/fireflycleat/fireflycleat/internal/stand/store"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const gib = 1 << 30

func newStandinEngine() *cobra.Command {
	var (
		s            standinServer
		settings     model.Settings
		storeAddress string
		cached       []string
	)
	c := &cobra.Command{
		Use:   "engine",
		Short: "Runs a stand-in of a model engine",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if settings.Cached, err = parseCached(cached); err != nil {
				return err
			}
			if storeAddress != "" {
				settings.Remote = store.NewClient(storeAddress).Load
			}
			e := model.New(settings)
			return s.run(c, e.Handler(), e.Close)
		},
	}
	s.addFlags(c)
	addEngineFlags(c, &settings)
	c.Flags().StringVar(&storeAddress, "store", "", "`IP:port` of the weight store; without it remote loads take their nominal time")
	c.Flags().StringSliceVar(&cached, "cached", nil, "checkpoints cached at the start, as `model:version:tier`")
	return c
}

func addEngineFlags(c *cobra.Command, settings *model.Settings) {
	f := c.Flags()
	f.StringVar(&settings.Name, "name", "engine", "name of the engine")
	f.Int64Var(&settings.CapacityBytes, "capacity", 64*gib, "accelerator memory, in bytes")
	f.IntVar(&settings.Slots, "slots", 8, "requests that a replica runs concurrently")
	f.BoolVar(&settings.ChecksFence, "checks-fence", true, "reject orders with an outdated fencing number")
	f.DurationVar(&settings.TokenTime, "token-time", 10*time.Millisecond, "time between two tokens of a single request")
	f.Float64Var(&settings.BatchSlope, "batch-slope", 0.1, "fraction of the token time that each additional request adds")
	f.DurationVar(&settings.PrefillTime, "prefill-time", 100*time.Microsecond, "time for each prompt word that is not cached")
	f.IntVar(&settings.PrefixBlocks, "prefix-blocks", 4096, "size of the prefix cache, in blocks")
	f.IntVar(&settings.DefaultTokens, "default-tokens", 256, "length of an answer in tokens when the request sets none")
	f.DurationVar(&settings.StatusLag, "status-lag", time.Second, "age of the load figures in the status")
	f.DurationVar(&settings.EventLag, "event-lag", time.Second, "delay before a cache event is published")
	f.Float64Var(&settings.EventLoss, "event-loss", 0.05, "fraction of cache events that are never published")
	f.Int64Var(&settings.MemoryRate, "memory-rate", 16*gib, "load rate from memory, in bytes per second")
	f.Int64Var(&settings.DiskRate, "disk-rate", 4*gib, "load rate from disk, in bytes per second")
	f.Int64Var(&settings.RemoteRate, "remote-rate", gib, "load rate from the weight store, in bytes per second")
	f.IntVar(&settings.MemoryCopies, "memory-copies", 4, "checkpoints kept in memory")
	f.IntVar(&settings.DiskCopies, "disk-copies", 32, "checkpoints kept on disk")
	f.DurationVar(&settings.AdapterMin, "adapter-min", 6*time.Millisecond, "minimum time of an adapter load")
	f.DurationVar(&settings.AdapterMax, "adapter-max", 20*time.Millisecond, "maximum time of an adapter load")
}

// parseCached parses checkpoints given as model:version:tier.
func parseCached(list []string) ([]wire.CachedCopy, error) {
	var out []wire.CachedCopy
	for _, s := range list {
		p := strings.Split(s, ":")
		if len(p) != 3 || p[0] == "" || (p[2] != string(wire.TierMemory) && p[2] != string(wire.TierDisk)) {
			return nil, codes.New(codes.BadArgument, fmt.Sprintf("--cached %q is not model:version:tier with tier memory or disk", s))
		}
		out = append(out, wire.CachedCopy{Model: p[0], Version: p[1], Tier: wire.Tier(p[2])})
	}
	return out, nil
}
