package idemp

// replicate applies the holder's changes in order. Only the current epoch is accepted, so a replaced holder gets no
// acknowledgement and cannot run a new key.
func (h *Host) replicate(m Replicate) {
	r := h.rangeAt(m.Range)
	if r == nil || !validEntries(m.Entries, m.Range, h.cfg.Ranges) {
		return
	}
	if m.Epoch < r.assignment.Epoch {
		if h.faults.acceptAnyEpoch {
			h.applyAnyEpoch(r, m)
			return
		}
		h.send(m.From, ReplicateRefused{From: h.cfg.Incarnation, Range: m.Range, Epoch: m.Epoch, Newer: r.assignment.Epoch})
		return
	}
	// The assignment of a newer epoch has not been read from the log yet; the holder resends the message.
	if !h.fromHolder(r, m.From, m.Epoch) || !r.transferComplete {
		return
	}
	for i, e := range m.Entries {
		if m.First+uint64(i) == r.lastApplied+1 {
			r.apply(e)
			r.lastApplied++
		}
	}
	h.send(m.From, ReplicateAck{From: h.cfg.Incarnation, Range: m.Range, Epoch: m.Epoch, Seq: r.lastApplied})
}

func (h *Host) fromHolder(r *keyRange, from string, epoch int64) bool {
	return r.assignment.Epoch == epoch && r.assignment.Backup == h.cfg.Incarnation && r.assignment.Holder == from
}

// applyAnyEpoch acknowledges changes of a replaced epoch; only tests enable it, by faults.acceptAnyEpoch.
func (h *Host) applyAnyEpoch(r *keyRange, m Replicate) {
	for _, e := range m.Entries {
		if _, ok := r.table[e.Key]; !ok {
			r.put(e)
		}
	}
	last := m.First + uint64(len(m.Entries)) - 1
	h.send(m.From, ReplicateAck{From: h.cfg.Incarnation, Range: m.Range, Epoch: m.Epoch, Seq: last})
}

// transfer stores a chunk of the holder's table at the start of an epoch.
func (h *Host) transfer(m Transfer) {
	r := h.rangeAt(m.Range)
	if r == nil || !h.fromHolder(r, m.From, m.Epoch) || m.Chunk < 0 || m.Chunk >= m.Chunks {
		return
	}
	if !validEntries(m.Entries, m.Range, h.cfg.Ranges) {
		return
	}
	if !r.transferComplete && !r.receivedChunks[m.Chunk] {
		for _, e := range m.Entries {
			r.put(e)
		}
		r.receivedChunks[m.Chunk] = true
		r.transferComplete = len(r.receivedChunks) == m.Chunks
		if r.transferComplete {
			r.sortExpiryQueue()
		}
	}
	h.send(m.From, TransferAck{From: h.cfg.Incarnation, Range: m.Range, Epoch: m.Epoch, Chunk: m.Chunk})
}

// transferAck removes an acknowledged chunk; new keys can start once all chunks are acknowledged.
func (h *Host) transferAck(m TransferAck) {
	r := h.rangeAt(m.Range)
	if r == nil || !h.fromBackup(r, m.From, m.Epoch) || r.backupSynced {
		return
	}
	for i, t := range r.unackedChunks {
		if t.Chunk == m.Chunk {
			r.unackedChunks = append(r.unackedChunks[:i:i], r.unackedChunks[i+1:]...)
			break
		}
	}
	r.backupSynced = len(r.unackedChunks) == 0
	if r.backupSynced && len(r.unackedChanges) > 0 {
		h.sendChanges(r, 0)
	}
}
