package idemp

// replicate applies the holder's changes in order. Only the epoch that this daemon knows is accepted, so a holder that
// was replaced gets no acknowledgement and can run no new key.
func (h *Host) replicate(m Replicate) {
	r := h.at(m.Range)
	if r == nil || !acceptable(m.Entries, m.Range, h.cfg.Ranges) {
		return
	}
	if m.Epoch < r.assign.Epoch {
		if h.faults.anyEpoch {
			h.acceptAny(r, m)
			return
		}
		h.send(m.From, ReplicateRefused{From: h.cfg.Incarnation, Range: m.Range, Epoch: m.Epoch, Newer: r.assign.Epoch})
		return
	}
	// A newer epoch is not known here yet; the holder repeats the message.
	if !h.fromHolder(r, m.From, m.Epoch) || !r.complete {
		return
	}
	for i, e := range m.Entries {
		if m.First+uint64(i) == r.applied+1 {
			r.apply(e)
			r.applied++
		}
	}
	h.send(m.From, ReplicateAck{From: h.cfg.Incarnation, Range: m.Range, Epoch: m.Epoch, Seq: r.applied})
}

func (h *Host) fromHolder(r *keyRange, from string, epoch int64) bool {
	return r.assign.Epoch == epoch && r.assign.Backup == h.cfg.Incarnation && r.assign.Holder == from
}

func (h *Host) acceptAny(r *keyRange, m Replicate) {
	for _, e := range m.Entries {
		if _, ok := r.table[e.Key]; !ok {
			r.put(e)
		}
	}
	last := m.First + uint64(len(m.Entries)) - 1
	h.send(m.From, ReplicateAck{From: h.cfg.Incarnation, Range: m.Range, Epoch: m.Epoch, Seq: last})
}

// transfer stores a chunk of the table of a new epoch.
func (h *Host) transfer(m Transfer) {
	r := h.at(m.Range)
	if r == nil || !h.fromHolder(r, m.From, m.Epoch) || m.Chunk < 0 || m.Chunk >= m.Chunks {
		return
	}
	if !acceptable(m.Entries, m.Range, h.cfg.Ranges) {
		return
	}
	if !r.complete && !r.chunks[m.Chunk] {
		for _, e := range m.Entries {
			r.put(e)
		}
		r.chunks[m.Chunk] = true
		r.complete = len(r.chunks) == m.Chunks
		if r.complete {
			r.sortOrder()
		}
	}
	h.send(m.From, TransferAck{From: h.cfg.Incarnation, Range: m.Range, Epoch: m.Epoch, Chunk: m.Chunk})
}

// transferAck counts the chunks that the backup has; with the last one new keys can run.
func (h *Host) transferAck(m TransferAck) {
	r := h.at(m.Range)
	if r == nil || !h.fromBackup(r, m.From, m.Epoch) || r.ready {
		return
	}
	for i, t := range r.unsent {
		if t.Chunk == m.Chunk {
			r.unsent = append(r.unsent[:i:i], r.unsent[i+1:]...)
			break
		}
	}
	r.ready = len(r.unsent) == 0
	if r.ready && len(r.pending) > 0 {
		h.sendPending(r, 0)
	}
}
