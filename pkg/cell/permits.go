package cell

// maxBackoffShift limits the exponential back-off of claims. A permit that another cell uses may stay there for hours,
// and each refused claim costs an append.
const maxBackoffShift = 5

// firstClaimSpeedup divides the interval after the first claim for waiting work, because another cell yields within two
// messages.
const firstClaimSpeedup = 8

func (c *Controller) setPermit(e PermitChanged) {
	m := c.model(e.Model)
	m.claimAttempts = 0
	if e.Count < m.permits {
		m.nextClaimAt = c.now.Add(c.settings.ClaimInterval)
		if m.permitFollowsCopies() {
			// Claims in advance are delayed, so that the cell for which the permit was yielded claims it first.
			m.nextClaimAt = c.now.Add(c.settings.ClaimInterval << maxBackoffShift)
		}
	}
	m.permits, m.offset, m.frozen = e.Count, e.Offset, e.Frozen
	if e.Count <= m.yieldClaimed {
		m.yieldClaimed = noYield
	}
	if e.Count <= m.yieldTarget {
		m.yieldTarget = noYield
	}
	c.markDirty(m)
	c.replan = true
}

func (c *Controller) requestYield(e PermitAsked) {
	m := c.model(e.Model)
	if c.holdsLease && e.Count < m.permits && (!m.permitFollowsCopies() || e.Distance < c.distance(m)) {
		m.yieldTarget, m.forceYield = max(e.Count, 0), e.Force
		c.markDirty(m)
	}
}

// usablePermits returns the number of replicas that the cell may load. A permit that is being yielded is not usable any
// more: the record that lowers the count may already be in the log.
func (c *Controller) usablePermits(m *model) int {
	n := m.permits
	if m.configured {
		n = min(n, m.spec.MaxReplicas)
	}
	if m.yieldTarget != noYield {
		n = min(n, m.yieldTarget)
	}
	if m.yieldClaimed != noYield {
		n = min(n, m.yieldClaimed)
	}
	return n
}

// permitsInUse returns the number of permits that may be in use. A replica uses one from its order to its confirmed
// unload, and an upstream that is not quiesced may receive a load that an earlier holder ordered.
func (c *Controller) permitsInUse(m *model) int {
	n := 0
	for _, r := range m.replicas {
		if c.holdsResources(r) {
			n++
		}
	}
	for _, u := range c.upstreams {
		if !u.quiesced && !c.disabled.quiescence && u.findReplica(m) == nil {
			n++
		}
	}
	return n
}

func (c *Controller) mayLoad(m *model) bool {
	return m.configured && !m.frozen && c.permitsInUse(m) < c.usablePermits(m)
}

// yieldPermits yields permits that another cell requested or that exceed a lowered maxReplicas.
func (c *Controller) yieldPermits(m *model) {
	if m.configured && m.permits > m.spec.MaxReplicas && (m.yieldTarget == noYield || m.yieldTarget > m.spec.MaxReplicas) {
		m.yieldTarget, m.forceYield = m.spec.MaxReplicas, true
	}
	if m.yieldTarget == noYield && m.yieldClaimed == noYield {
		return
	}
	limit := c.usablePermits(m)
	if c.permitsInUse(m) <= limit && (m.forceYield || m.yieldTarget == noYield || m.missing == 0 || !c.hasUsableUpstream()) {
		c.sendClaim(m, limit, 0)
		return
	}
	if m.yieldTarget != noYield && !m.forceYield && c.busy(m) {
		m.yieldTarget = noYield // The requesting cell repeats its request while it has demand.
		return
	}
	kept := 0
	for _, r := range m.replicas {
		if r.retireReason == notRetired && r.phase <= loaded {
			kept++
		}
	}
	for _, r := range m.replicas {
		if kept <= limit || r.retireReason != notRetired || r.phase > loaded {
			continue
		}
		if m.forceYield || kept > c.floorIgnoringYield(m) {
			c.startRetire(r, excess)
			kept--
		}
	}
	if !m.forceYield && kept > limit {
		m.yieldTarget = noYield // The floor needs the remaining replicas.
	}
}

// floorIgnoringYield returns the floor as it would be without the request to yield.
func (c *Controller) floorIgnoringYield(m *model) int {
	if !c.isPreferred(m) || !m.configured {
		return 0
	}
	return min(m.spec.MinReplicas, m.permits)
}

// distance ranks the cells by how soon they could load the model: by the nearest copy of the checkpoint, with the
// preferred cell before others at the same tier. The distance is at least 1. Two cells never both rank before each
// other, so a permit that is claimed in advance does not move back and forth.
func (c *Controller) distance(m *model) int {
	d := 1 + 2*int(c.nearestTier(m))
	if !c.isPreferred(m) {
		d++
	}
	return d
}

// permitFollowsCopies reports whether the permit of the model follows the copies of its checkpoint. For models with
// several permits, free ones are left to the cells with work, and models with a minimum of replicas stay loaded in
// their preferred cell.
func (m *model) permitFollowsCopies() bool {
	return m.configured && m.spec.MaxReplicas == 1 && m.spec.MinReplicas == 0
}

// claimsForCopy reports whether the cell claims the permit of the model because it keeps a copy of the checkpoint.
func (c *Controller) claimsForCopy(m *model) bool {
	return m.permitFollowsCopies() && c.nearestTier(m) < TierRemote
}

// claimPermits claims permits in advance if this cell is the preferred cell of the model or keeps a copy of its
// checkpoint, and claims permits for work that those of the cell cannot serve.
func (c *Controller) claimPermits(m *model, serving int) {
	if !m.configured || m.frozen || m.yieldTarget != noYield || m.yieldClaimed != noYield {
		return
	}
	count := 0
	if c.isPreferred(m) || c.claimsForCopy(m) {
		count = max(1, m.spec.MinReplicas)
	}
	distance := c.distance(m)
	if m.missing > 0 && !c.mayLoad(m) {
		for _, u := range c.upstreams {
			c.preparePlan(u)
		}
		if !c.passesToOtherCell(m) {
			count, distance = max(count, c.permitsInUse(m)+1, serving+m.missing), 0
		}
	}
	if count = min(count, m.spec.MaxReplicas); count > m.permits {
		c.sendClaim(m, count, distance)
	}
}

func (c *Controller) sendClaim(m *model, count, distance int) {
	forWork := distance == 0 && count > m.permits
	if forWork && !m.claimedForWork {
		m.claimAttempts, m.nextClaimAt = 0, c.now
	}
	if first := count < m.permits && m.yieldClaimed == noYield; !first && c.now.Before(m.nextClaimAt) {
		return
	}
	wait := c.settings.ClaimInterval
	switch {
	case forWork:
		wait = min(wait, wait/firstClaimSpeedup<<min(m.claimAttempts, maxBackoffShift))
	case m.missing == 0:
		wait <<= min(m.claimAttempts+1, maxBackoffShift)
	}
	m.claimedForWork, m.nextClaimAt = forWork, c.now.Add(wait)
	m.claimAttempts++
	if count < m.permits {
		m.yieldClaimed = count
	}
	c.emit(Claim{Fence: c.fence, Base: m.offset, Model: m.name, Count: count, Distance: distance})
}
