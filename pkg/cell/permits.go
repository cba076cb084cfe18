package cell

// maxClaimShift bounds the back-off of claims in advance: a permit that another cell uses may stay there for hours, and
// each refused claim costs an append.
const maxClaimShift = 5

// firstClaims is how many times sooner the first claim for waiting work is repeated: another cell yields within two messages.
const firstClaims = 8

func (c *Controller) setPermit(e PermitChanged) {
	m := c.model(e.Model)
	m.claims = 0
	if e.Count < m.permits {
		m.claimAt = c.now.Add(c.set.ClaimInterval)
		if m.moves() {
			// A claim in advance lets the cell go first for which the permit was yielded.
			m.claimAt = c.now.Add(c.set.ClaimInterval << maxClaimShift)
		}
	}
	m.permits, m.offset, m.frozen = e.Count, e.Offset, e.Frozen
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
	if c.holds && e.Count < m.permits && (!m.moves() || e.Distance < c.distance(m)) {
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
		c.claim(m, limit, 0)
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

// distance orders the cells by how soon they could load the model: by the nearest copy of the checkpoint, and the home cell
// before others with the same. It is at least 1, and as two cells never both come before each other, a permit that is
// claimed in advance comes to rest.
func (c *Controller) distance(m *model) int {
	d := 1 + 2*int(c.nearest(m))
	if !c.home(m) {
		d++
	}
	return d
}

// moves reports whether the permit of the model follows the copies of its checkpoint. Free permits of models with several are
// left to the cells with work, and models that stay loaded do so at home.
func (m *model) moves() bool { return m.known && m.spec.MaxReplicas == 1 && m.spec.MinReplicas == 0 }

// attracts reports whether the cell claims the permit of the model because it keeps a copy of the checkpoint.
func (c *Controller) attracts(m *model) bool { return m.moves() && c.nearest(m) < TierRemote }

// claimMore claims permits in advance for models at home or with a copy of the checkpoint in the cell, and for work that the
// permits of the cell cannot serve.
func (c *Controller) claimMore(m *model, serving int) {
	if !m.known || m.frozen || m.yield != noYield || m.yielding != noYield {
		return
	}
	want := 0
	if c.home(m) || c.attracts(m) {
		want = max(1, m.spec.MinReplicas)
	}
	distance := c.distance(m)
	if m.missing > 0 && !c.mayLoad(m) {
		for _, u := range c.upstreams {
			c.preparePlan(u)
		}
		if !c.passesOn(m) {
			want, distance = max(want, c.inUse(m)+1, serving+m.missing), 0
		}
	}
	if want = min(want, m.spec.MaxReplicas); want > m.permits {
		c.claim(m, want, distance)
	}
}

func (c *Controller) claim(m *model, count, distance int) {
	eager := distance == 0 && count > m.permits
	if eager && !m.eager {
		m.claims, m.claimAt = 0, c.now
	}
	if first := count < m.permits && m.yielding == noYield; !first && c.now.Before(m.claimAt) {
		return
	}
	wait := c.set.ClaimInterval
	switch {
	case eager:
		wait = min(wait, wait/firstClaims<<min(m.claims, maxClaimShift))
	case m.missing == 0:
		wait <<= min(m.claims+1, maxClaimShift)
	}
	m.eager, m.claimAt = eager, c.now.Add(wait)
	m.claims++
	if count < m.permits {
		m.yielding = count
	}
	c.emit(Claim{Fence: c.fence, Base: m.offset, Model: m.name, Count: count, Distance: distance})
}
