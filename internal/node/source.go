package node

import "time"

// membersKnown reports whether the members have been read, or the wait for them has ended.
func (n *Node) membersKnown(now time.Time) bool {
	wait := maxMembersWait
	if n.settings.Host.Bootstrap {
		wait += bootstrapDelay + bootstrapSpread
	}
	return n.hasMembers || now.Sub(n.startedAt) > wait
}

// markHubStale records that a hub is silent or stale. This host avoids the hub and queries another one at once; if that is stale too,
// it reads the store itself for a while.
func (n *Node) markHubStale(hub string) {
	now := time.Now()
	if m, ok := n.members[hub]; ok && !n.outage.active(now) {
		m.staleAt = now
	}
	if now.Sub(n.hubReplacedAt) > directDuration && n.hasList {
		n.hubReplacedAt = now
		n.requestHeartbeat()
		n.chooseSource()
		return
	}
	n.hubStale, n.hubStaleAt = true, now
	n.chooseSource()
}

// markHubSilent records that a hub doesn't answer.
func (n *Node) markHubSilent(hub string) {
	if m, ok := n.members[hub]; ok {
		m.staleAt = time.Now()
	}
	n.markHubStale(hub)
}

// chooseSource decides whether this host reads the store itself. Hubs and the controller always do. Other hosts do from the time at which
// their hubs are stale, or what they have is about to be older than the operator's bounds, until a hub is current again.
func (n *Node) chooseSource() {
	now := time.Now()
	if !n.hubsChosen {
		return // The first heartbeat follows when the members are known.
	}
	if n.hasOldUpdates() && !n.hubStale {
		n.hubStale, n.hubStaleAt = true, now
	}
	_, holds := n.lease.Held(n.now())
	n.setDirect(n.parent == "" || holds || n.hubStale || now.Sub(n.hubStaleAt) < directDuration)
}

// hasOldUpdates reports whether the list or the configuration is so old that this host must read the store.
func (n *Node) hasOldUpdates() bool {
	if !n.hasList || n.config.Load() == nil {
		return time.Since(n.firstQueryAt) > n.poll.maxListAge+heartbeatInterval
	}
	now := n.bootNow()
	return now.Sub(n.listAt) > n.poll.listAgeLimit || now.Sub(n.configAt) > n.poll.configAgeLimit
}

// checkConfigAge notes whether the configuration is older than the operator's bound. A route that it lacks may then exist.
func (n *Node) checkConfigAge() {
	bound := time.Duration(n.settings.Limits.ConfigMS) * time.Millisecond
	n.configOld.Store(bound > 0 && n.bootNow().Sub(n.configAt) > bound-tickInterval)
}

// setDirect makes this host read the store itself, or stop doing so.
func (n *Node) setDirect(direct bool) {
	if n.direct.Swap(direct) == direct {
		return
	}
	now := n.bootNow()
	n.log("members").Info("source of configuration and list changed", "event", eventSource, "store", direct, "hub", n.parent,
		"listAgeMS", now.Sub(n.listAt).Milliseconds(), "configAgeMS", now.Sub(n.configAt).Milliseconds())
	if direct && n.hasList {
		n.list.Adopt(n.upstreams, n.progress, now.Sub(n.listAt) < recentListAge)
	}
}

// logOldUpdates logs when the list or the configuration becomes older than its limit and when both are current again, with what this
// host knows about its sources.
func (n *Node) logOldUpdates() {
	now := n.bootNow()
	old := n.hasOldUpdates()
	if !n.hasList || old == n.oldUpdates {
		return
	}
	n.oldUpdates = old
	n.log("members").Info("age of updates passed its limit", "event", eventOldUpdates, "old", old, "store", n.direct.Load(), "hub", n.parent,
		"listAgeMS", now.Sub(n.listAt).Milliseconds(), "configAgeMS", now.Sub(n.configAt).Milliseconds(),
		"failedReads", n.outage.failures)
}

// awaitsFirstList reports whether all hosts are starting and the hub of this one may not have a list yet.
func (n *Node) awaitsFirstList() bool {
	return n.settings.Host.Bootstrap && !n.hasList && time.Since(n.startedAt) < maxFirstListWait
}

// seeds returns the hosts to query for configuration and list if the store has not answered soon after the start.
func (n *Node) seeds() []Member {
	if n.config.Load() != nil && n.hasList || time.Since(n.startedAt) < seedDelay || n.awaitsFirstList() {
		return nil
	}
	// While the store answers, a host gets both from its hub or the store: a few seeds can't send the whole list to hundreds of hosts.
	if !n.lostDependencies["members"] && !n.lostDependencies["list"] && !n.lostDependencies["configuration"] {
		return nil
	}
	var list []Member
	for _, address := range n.settings.Platform.Seeds {
		if address != n.self.Peers {
			list = append(list, Member{Peers: address})
		}
	}
	return list
}
