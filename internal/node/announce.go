package node

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// initialReads is the number of times that a host without a hub reads the published members after the start, when other hosts
	// may be starting too. The reads are initialReadInterval apart. Hubs send new members to other hosts.
	initialReads        = 2
	initialReadInterval = time.Second
	// bootstrapDelay is the time from the announcement of a host to its first read of the members when all hosts start: they do so
	// within 0.3 s, and small hosts need half a second to announce themselves. A host that knows only some members chooses wrong hubs.
	// bootstrapSpread is the longest random time added to it, because hundreds of reads at once take seconds.
	bootstrapDelay  = time.Second
	bootstrapSpread = 500 * time.Millisecond
	// announceSpread is the time over which hosts publish themselves again after the store came back from a copy.
	announceSpread = 3 * time.Second
)

// watchMembers publishes this host and reads which other hosts are published.
func (n *Node) watchMembers(ctx context.Context) {
	n.announce(ctx)
	if n.settings.Host.Bootstrap {
		sleep(ctx, bootstrapDelay+rand.N(bootstrapSpread)) //nolint:gosec // need not be unpredictable
	}
	for reads := 0; ctx.Err() == nil; reads++ {
		if reads >= initialReads && !n.direct.Load() {
			sleep(ctx, membersInterval)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		list, skipped, err := n.platform.Members(callCtx)
		cancel()
		n.control.Post(func() {
			n.recordDependency("members", err)
			n.logSkipped("members", skipped)
			for _, m := range list {
				n.addMember(m)
			}
			if err == nil && !n.hasMembers {
				n.hasMembers = true
				n.requestHeartbeat()
			}
		})
		switch {
		case err != nil && reads < initialReads:
			sleep(ctx, 2*retryDelay)
		case err != nil:
			sleep(ctx, membersRetryDelay)
		case reads < initialReads:
			sleep(ctx, initialReadInterval)
			if !n.direct.Load() {
				reads = initialReads // The hub sends new members.
			}
		default:
			sleep(ctx, membersInterval)
		}
	}
}

// announce publishes this host, and tries until that succeeds.
func (n *Node) announce(ctx context.Context) {
	for failed := 1; ctx.Err() == nil; failed++ {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		era, err := n.platform.Announce(callCtx, n.self)
		cancel()
		if err == nil {
			n.control.Post(func() { n.announced, n.announcedEra = true, max(n.announcedEra, era) })
			return
		}
		n.control.Post(func() { n.recordDependency("members", err) })
		sleep(ctx, backoff(failed))
	}
}

// announceAgain publishes this host again if the store came back from a copy that may have been made before it was published. Hundreds of
// hosts do so at random times.
func (n *Node) announceAgain() {
	if !n.announced || n.announcedEra >= n.storeEra {
		return
	}
	n.announcedEra = n.storeEra
	n.background(func(ctx context.Context) {
		if sleep(ctx, rand.N(announceSpread)) { //nolint:gosec // need not be unpredictable
			n.announce(ctx)
		}
	})
}
