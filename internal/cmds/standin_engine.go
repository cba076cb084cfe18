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
		s      serving
		set    model.Settings
		from   string
		cached []string
	)
	c := &cobra.Command{
		Use:   "engine",
		Short: "Runs a model engine",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if set.Cached, err = parseCached(cached); err != nil {
				return err
			}
			if from != "" {
				set.Remote = store.NewClient(from).Load
			}
			e := model.New(set)
			return s.run(c, e.Handler(), e.Close)
		},
	}
	s.flags(c)
	engineFlags(c, &set)
	c.Flags().StringVar(&from, "store", "", "`IP:port` of the weight store; without one, remote loads take their nominal time")
	c.Flags().StringSliceVar(&cached, "cached", nil, "checkpoints cached at the start, as `model:version:tier`")
	return c
}

func engineFlags(c *cobra.Command, set *model.Settings) {
	f := c.Flags()
	f.StringVar(&set.Name, "name", "engine", "name of the engine")
	f.Int64Var(&set.CapacityBytes, "capacity", 64*gib, "accelerator memory in bytes")
	f.IntVar(&set.Slots, "slots", 8, "requests that a replica runs at once")
	f.BoolVar(&set.ChecksFence, "checks-fence", true, "refuse orders with an old fencing number")
	f.DurationVar(&set.TokenTime, "token-time", 10*time.Millisecond, "time between two tokens of a single request")
	f.Float64Var(&set.BatchSlope, "batch-slope", 0.1, "share of the token time that each further request adds")
	f.DurationVar(&set.PrefillTime, "prefill-time", 100*time.Microsecond, "time for each prompt word that is not cached")
	f.IntVar(&set.PrefixBlocks, "prefix-blocks", 4096, "size of the prefix cache in blocks")
	f.IntVar(&set.DefaultTokens, "default-tokens", 256, "length of an answer when the request sets none")
	f.DurationVar(&set.StatusLag, "status-lag", time.Second, "age of the load figures in the status")
	f.DurationVar(&set.EventLag, "event-lag", time.Second, "time until a cache event is published")
	f.Float64Var(&set.EventLoss, "event-loss", 0.05, "share of cache events that are never published")
	f.Int64Var(&set.MemoryRate, "memory-rate", 16*gib, "speed of loads from memory in bytes a second")
	f.Int64Var(&set.DiskRate, "disk-rate", 4*gib, "speed of loads from disk in bytes a second")
	f.Int64Var(&set.RemoteRate, "remote-rate", gib, "speed of loads from the weight store in bytes a second")
	f.IntVar(&set.MemoryCopies, "memory-copies", 4, "checkpoints kept in memory")
	f.IntVar(&set.DiskCopies, "disk-copies", 32, "checkpoints kept on disk")
	f.DurationVar(&set.AdapterMin, "adapter-min", 6*time.Millisecond, "shortest time of an adapter load")
	f.DurationVar(&set.AdapterMax, "adapter-max", 20*time.Millisecond, "longest time of an adapter load")
}

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
