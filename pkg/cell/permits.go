package cell

// maxClaimShift bounds the back-off of claims in advance: a permit that another cell uses may stay there for hours, and
// each refused claim costs an append.
const maxClaimShift = 5

func (c *Controller) setPermit(e PermitChanged) {
	m := c.model(e.Model)
	m.permits, m.offset, m.frozen, m.claims = e.Count, e.Offset, e.Frozen, 0
	if e.Count <= m.yielding {
		m.yielding = noYield
	}
	if e.Count <= m.yield {
		m.yield = noYield
	}
	c.touch(m)
	c.replan = true
}

func (c *Controller) askPermit(e PermitAsked) {
	m := c.model(e.Model)
	if c.holds && e.Count < m.permits {
		m.yield, m.force = max(e.Count, 0), e.Force
		c.touch(m)
	}
}

// permitCap returns the number of replicas the cell may use. A permit that is being yielded is no longer usable: the
// record that lowers the count may already be in the log.
func (c *Controller) permitCap(m *model) int {
	n := m.permits
	if m.known {
		n = min(n, m.spec.MaxReplicas)
	}
	if m.yield != noYield {
		n = min(n, m.yield)
	}
	if m.yielding != noYield {
		n = min(n, m.yielding)
	}
	return n
}

// inUse returns the permits that may be in use: a replica counts from its order to its confirmed unload, and an
// unsettled upstream may receive a load that an earlier holder ordered.
func (c *Controller) inUse(m *model) int {
	n := 0
	for _, r := range m.replicas {
		if c.counts(r) {
			n++
		}
	}
	for _, u := range c.upstreams {
		if !u.settled && !c.off.settle && u.find(m) == nil {
			n++
		}
	}
	return n
}

func (c *Controller) mayLoad(m *model) bool {
	return m.known && !m.frozen && c.inUse(m) < c.permitCap(m)
}

// reviewPermits yields permits that another cell asked for or that exceed a lowered maxReplicas.
func (c *Controller) reviewPermits(m *model) {
	if m.known && m.permits > m.spec.MaxReplicas && (m.yield == noYield || m.yield > m.spec.MaxReplicas) {
		m.yield, m.force = m.spec.MaxReplicas, true
	}
	if m.yield == noYield && m.yielding == noYield {
		return
	}
	limit := c.permitCap(m)
	if c.inUse(m) <= limit && (m.force || m.yield == noYield || m.missing == 0 || !c.takesLoads()) {
		c.claim(m, limit)
		return
	}
	if m.yield != noYield && !m.force && c.busy(m) {
		m.yield = noYield // The cell that asked asks again while it has demand.
		return
	}
	kept := 0
	for _, r := range m.replicas {
		if r.retire == keep && r.phase <= loaded {
			kept++
		}
	}
	for _, r := range m.replicas {
		if kept <= limit || r.retire != keep || r.phase > loaded {
			continue
		}
		if m.force || kept > c.floorWithout(m) {
			c.startRetire(r, excess)
			kept--
		}
	}
	if !m.force && kept > limit {
		m.yield = noYield // The floor needs them.
	}
}

// floorWithout returns the floor as it is without the request to yield.
func (c *Controller) floorWithout(m *model) int {
	if !c.home(m) || !m.known {
		return 0
	}
	return min(m.spec.MinReplicas, m.permits)
}

// claimMore claims permits in advance for models at home, and for work that the permits of the cell cannot serve.
func (c *Controller) claimMore(m *model, serving int) {
	if !m.known || m.frozen || m.yield != noYield || m.yielding != noYield {
		return
	}
	want := 0
	if c.home(m) {
		want = max(1, m.spec.MinReplicas)
	}
	if m.missing > 0 && !c.mayLoad(m) {
		want = max(want, c.inUse(m)+1, serving+m.missing)
	}
	if want = min(want, m.spec.MaxReplicas); want > m.permits {
		c.claim(m, want)
	}
}

func (c *Controller) claim(m *model, count int) {
	wait := c.set.ClaimInterval
	if m.missing == 0 {
		wait <<= min(m.claims, maxClaimShift)
	}
	if c.now.Sub(m.claimedAt) < wait {
		return
	}
	m.claimedAt = c.now
	m.claims++
	if count < m.permits {
		m.yielding = count
	}
	c.emit(Claim{Fence: c.fence, Base: m.offset, Model: m.name, Count: count})
}
