package cell

// publish sends the directory if it changed, at most once per PublishInterval unless the change concerns new or leaving
// replicas.
func (c *Controller) publish() {
	if !c.directoryStale || !c.publishNow && c.now.Sub(c.publishedAt) < c.settings.PublishInterval {
		return
	}
	c.directoryStale, c.publishNow, c.publishedAt = false, false, c.now
	c.seq++
	n := 0
	for _, u := range c.upstreams {
		n += len(u.replicas)
	}
	list := make([]Replica, 0, n)
	for _, u := range c.upstreams {
		if u.gone || u.leaving {
			continue
		}
		for _, r := range u.replicas {
			if r.lost || r.retireReason != notRetired || r.phase > loaded {
				continue
			}
			x := Replica{Upstream: u.name, Model: r.model.name, Version: r.version, Slots: r.slots, Ready: r.ready}
			if !r.ready {
				x.ReadyAt = predictEnd(r, c.now)
			}
			for _, a := range r.adapters {
				if a.phase == loaded {
					x.Adapters = append(x.Adapters, a.name)
				}
			}
			list = append(list, x)
		}
	}
	c.emit(Publish{Fence: c.fence, Seq: c.seq, Replicas: list})
}
